#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include <base/error.hpp>

namespace cuminledge::standin {

/// Orders to the engine: which models it serves and in what role, and the fencing number of the orderer.
struct order_book {
    static constexpr std::size_t maxNumbers = 1000;

    bool checkFencing = true;
    std::set<std::string> models;
    std::string role = "decode";
    std::uint64_t highestNumber = 0;
    std::uint64_t refused = 0;
    std::map<std::uint64_t, std::uint64_t> obeyed; ///< orders by fencing number

    /// Notes the fencing number of an order. @return an error if it is an old one and they are checked.
    result<void> admit(std::uint64_t fencingNumber);

    /// Carries out an admitted order: {"order": "load_model" | "unload_model" | "load_adapter" | "unload_adapter" |
    /// "change_role", "name": …}.
    result<void> apply(const std::string& order, const std::string& name);

    [[nodiscard]] bool serves(const std::string& model) const;
    [[nodiscard]] Json::Value toJson() const;
};

} // namespace cuminledge::standin
