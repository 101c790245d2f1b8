#include <core/store/group.hpp>

#include <type_traits>
#include <variant>

namespace cuminledge::core::store {

namespace {

    template <typename Command>
    constexpr bool isProgramCommand = std::is_same_v<Command, wire::open_program> || std::is_same_v<Command, wire::begin_turn> || std::is_same_v<Command, wire::commit_turn> || std::is_same_v<Command, wire::abandon_turn> || std::is_same_v<Command, wire::end_program>;

    template <typename Command>
    constexpr bool isCallCommand = std::is_same_v<Command, wire::record_call> || std::is_same_v<Command, wire::dispatch_call> || std::is_same_v<Command, wire::settle_call>;

    template <typename Command>
    constexpr bool isAccountCommand = std::is_same_v<Command, wire::reserve_rate> || std::is_same_v<Command, wire::reserve_tokens> || std::is_same_v<Command, wire::settle_tokens> || std::is_same_v<Command, wire::retain_turn> || std::is_same_v<Command, wire::hold_chain> || std::is_same_v<Command, wire::record_stream>;

} // namespace

std::uint32_t groupOf(const wire::command& command, std::uint32_t groupCount)
{
    return std::visit(
        [groupCount](const auto& alternative) -> std::uint32_t {
            using type = std::decay_t<decltype(alternative)>;
            if constexpr (isProgramCommand<type>) {
                return groupOfProgram(alternative.program, groupCount);
            } else if constexpr (isCallCommand<type>) {
                return groupOfCall(alternative.account, alternative.call, groupCount);
            } else if constexpr (isAccountCommand<type>) {
                return groupOfAccount(alternative.account, groupCount);
            } else if constexpr (std::is_same_v<type, wire::advance_time>) {
                return alternative.group;
            } else {
                return systemGroup;
            }
        },
        command);
}

std::uint32_t groupOf(const wire::query& query, std::uint32_t groupCount)
{
    return std::visit(
        [groupCount](const auto& alternative) -> std::uint32_t {
            using type = std::decay_t<decltype(alternative)>;
            if constexpr (std::is_same_v<type, wire::read_call>) {
                return groupOfCall(alternative.account, alternative.call, groupCount);
            } else if constexpr (std::is_same_v<type, wire::read_chain> || std::is_same_v<type, wire::read_stream>) {
                return groupOfAccount(alternative.account, groupCount);
            } else if constexpr (std::is_same_v<type, wire::read_ended_programs>) {
                return alternative.programs.empty() ? 1 : groupOfProgram(alternative.programs.front(), groupCount);
            } else {
                return groupOfProgram(alternative.program, groupCount);
            }
        },
        query);
}

} // namespace cuminledge::core::store
