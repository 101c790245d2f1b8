#include "order_book.hpp"

#include <algorithm>

namespace cuminledge::standin {

result<void> order_book::admit(std::uint64_t fencingNumber)
{
    if (checkFencing && fencingNumber < highestNumber) {
        ++refused;
        return failure(error_code::Conflict,
            "fencing number " + std::to_string(fencingNumber) + " is older than " + std::to_string(highestNumber),
            "order");
    }
    highestNumber = std::max(highestNumber, fencingNumber);
    ++obeyed[fencingNumber];
    if (obeyed.size() > maxNumbers) {
        obeyed.erase(obeyed.begin());
    }
    return {};
}

result<void> order_book::apply(const std::string& order, const std::string& name)
{
    constexpr std::size_t maxModels = 1000;
    if (order == "change_role") {
        role = name;
    } else if (order == "unload_model" || order == "unload_adapter") {
        models.erase(name);
    } else if (order == "load_model" || order == "load_adapter") {
        if (models.size() >= maxModels) {
            return failure(error_code::Overloaded, "too many models", "order");
        }
        models.insert(name);
    } else {
        return failure(error_code::InvalidArgument, "unknown order " + order, "order");
    }
    return {};
}

bool order_book::serves(const std::string& model) const
{
    return std::any_of(models.begin(), models.end(),
        [&](const auto& held) { return held == model || held.substr(0, held.find('@')) == model; });
}

Json::Value order_book::toJson() const
{
    Json::Value value(Json::objectValue);
    value["models"] = Json::arrayValue;
    for (const auto& model : models) {
        value["models"].append(model);
    }
    value["role"] = role;
    value["check_fencing"] = checkFencing;
    value["highest_fencing_number"] = Json::UInt64(highestNumber);
    value["refused"] = Json::UInt64(refused);
    value["obeyed"] = Json::objectValue;
    for (const auto& [number, count] : obeyed) {
        value["obeyed"][std::to_string(number)] = Json::UInt64(count);
    }
    return value;
}

} // namespace cuminledge::standin
