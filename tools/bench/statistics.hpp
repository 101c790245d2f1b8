#pragma once

#include "scenario.hpp"

#include <vector>

namespace cuminledge::bench {

/// @return the value below which that share of the values lies; 0 where there are none.
double quantile(std::vector<double> values, double share);

/// Sets the figure to the median over the runs, with the lowest and the highest of them.
void setSpread(figure& f, const std::vector<double>& values);

} // namespace cuminledge::bench
