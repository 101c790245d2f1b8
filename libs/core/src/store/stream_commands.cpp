#include <store/stream_commands.hpp>

#include <core/store/control_state.hpp>
#include <store/expiry.hpp>
#include <store/refusal.hpp>

namespace cuminledge::core::store {

namespace {

    bool isValid(const wire::record_stream& command)
    {
        const bool hasNames = !command.attempt.empty() && !command.service.empty();
        return hasNames && command.account.size() <= maxIdBytes && command.attempt.size() <= maxIdBytes
            && command.service.size() <= maxIdBytes && command.softwareVersion.size() <= maxIdBytes;
    }

} // namespace

wire::command_result applyCommand(shard_state& state, const wire::record_stream& command)
{
    const std::string step = "record_stream";
    if (!isValid(command)) {
        return refuse(error_code::InvalidArgument, "a field is empty or too long", step);
    }
    const call_key key(command.account, command.attempt);
    const auto known = state.streams.find(key);
    if (known == state.streams.end() && state.streams.size() >= maxRetained) {
        return refuse(error_code::Overloaded, "too many streams are recorded", step);
    }
    // A copy of an earlier record can arrive late, and must not replace a later one.
    if (known == state.streams.end() || command.sequence > known->second.sequence) {
        state.streams[key] = { command.account, command.attempt, { command.service, command.softwareVersion },
            command.sequence, expiryOf(state, command.retention) };
    }
    return wire::acknowledged {};
}

wire::command_result answerQuery(const shard_state& state, const wire::read_stream& query)
{
    const auto found = state.streams.find({ query.account, query.attempt });
    return found == state.streams.end() ? wire::stream_origin {} : found->second.origin;
}

} // namespace cuminledge::core::store
