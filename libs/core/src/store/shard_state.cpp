#include <core/store/shard_state.hpp>

#include <variant>

#include <fmt/format.h>

#include <core/store/control_state.hpp>
#include <store/call_commands.hpp>
#include <store/program_commands.hpp>
#include <store/refusal.hpp>
#include <store/stream_commands.hpp>
#include <store/turn_commands.hpp>

namespace cuminledge::core::store {

namespace {

    wire::command_result applyCommand(shard_state& state, const wire::reserve_rate& command)
    {
        const std::string step = "reserve_rate";
        if (command.account.empty() || command.account.size() > maxIdBytes || command.tokens < 0
            || command.tokens > maxTokens) {
            return refuse(error_code::InvalidArgument, "a field is empty, too long or out of range", step);
        }
        if (state.rates.size() >= maxRateAccounts && !state.rates.contains(command.account)) {
            return refuse(error_code::Overloaded, fmt::format("{} client accounts hold rates here", maxRateAccounts), step);
        }
        auto& held = state.rates[command.account];
        if (command.term < held.term) {
            return refuse(error_code::NotLeader, "a later leader has reserved", step);
        }
        held = command;
        return wire::acknowledged {};
    }

    /// Refuses every other command, since it belongs to group 0.
    template <typename Command>
    wire::command_result applyCommand(shard_state& /*state*/, const Command& /*command*/)
    {
        return refuse(error_code::InvalidArgument, "this command belongs to group 0", "apply");
    }

} // namespace

wire::command_result applyCommand(shard_state& state, const wire::command& command)
{
    return std::visit([&state](const auto& alternative) { return applyCommand(state, alternative); }, command);
}

wire::command_result query(const shard_state& state, const wire::query& query)
{
    return std::visit([&state](const auto& alternative) { return answerQuery(state, alternative); }, query);
}

} // namespace cuminledge::core::store
