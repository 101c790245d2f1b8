#include "statistics.hpp"

#include <algorithm>

namespace cuminledge::bench {

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void setSpread(figure& f, const std::vector<double>& values)
{
    f.value = quantile(values, 0.5);
    f.low = quantile(values, 0);
    f.high = quantile(values, 1);
}

} // namespace cuminledge::bench
