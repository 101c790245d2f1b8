#include "naive_history.hpp"

#include <fmt/format.h>

namespace cuminledge::core::consensus::test {

std::pair<std::string, std::string> parseCommand(const std::string& payload)
{
    const auto equals = payload.find('=');
    return { payload.substr(0, equals), payload.substr(equals + 1) };
}

key_values naiveStateAt(const history& observed, std::uint64_t index)
{
    key_values state;
    for (const auto& [key, versions] : observed.versions) {
        for (const auto& [written, value] : versions) {
            if (written <= index) {
                state[key] = value;
            }
        }
    }
    return state;
}

std::string recordCommitted(history& observed, const wire::log_entry& entry)
{
    if (entry.index > observed.committed.size() + 1) {
        return fmt::format("commits {} behind a gap", entry.index);
    }
    if (entry.index <= observed.committed.size()) {
        const auto& known = observed.committed[entry.index - 1];
        const bool isSame = known.term == entry.term && known.payload == entry.payload && known.kind == entry.kind;
        return isSame ? std::string {} : fmt::format("commits another entry {} than before", entry.index);
    }
    observed.committed.push_back(entry);
    if (entry.kind == wire::log_entry_kind::Command) {
        auto [key, value] = parseCommand(entry.payload);
        observed.versions[key].emplace_back(entry.index, value);
    }
    return {};
}

} // namespace cuminledge::core::consensus::test
