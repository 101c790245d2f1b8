#include <controller/internal.hpp>

#include <type_traits>
#include <utility>

#include <core/group.hpp>

namespace cuminledge::core::controller {

namespace {

    /// Keeps the parsed manifest and every rate limit equal to the document in force.
    void refreshManifest(reduction& r)
    {
        if (r.state.control.manifestNumber == 0) {
            return;
        }
        auto parsed = manifest::parseManifest(r.state.control.manifest);
        if (!parsed) {
            // It was checked before it was accepted; a newer version of the program may have accepted it.
            log(r, log_level::Error, "manifest_unreadable", { { "faults", describe(parsed.error()) } });
            return;
        }
        r.state.manifest = std::move(*parsed);
        for (auto& [number, group] : r.state.groups) {
            applyLimits(r, group);
        }
    }

    /// Keeps the decoded route table and every rate limit equal to the one in force.
    void refreshRoutes(reduction& r)
    {
        if (r.state.control.routesVersion == 0) {
            return;
        }
        auto decoded = wire::decodeStruct<wire::route_table>(r.state.control.routes, "decode_routes", "");
        if (!decoded) {
            log(r, log_level::Error, "routes_unreadable", { { "problem", describe(decoded.error()) } });
            return;
        }
        r.state.routes = std::move(*decoded);
        for (auto& [number, group] : r.state.groups) {
            applyLimits(r, group);
        }
    }

    void noteControlCommand(reduction& r, const wire::command& command)
    {
        if (const auto* routes = std::get_if<wire::accept_routes>(&command)) {
            refreshRoutes(r);
            log(r, log_level::Info, "routes_accepted",
                { { "version", std::to_string(routes->version) },
                    { "in_force", std::to_string(r.state.control.routesVersion) } });
            return;
        }
        if (const auto* server = std::get_if<wire::note_server>(&command)) {
            noteServer(r, *server);
            return;
        }
        if (const auto* accepted = std::get_if<wire::accept_manifest>(&command)) {
            refreshManifest(r);
            log(r, log_level::Info, "manifest_accepted",
                { { "number", std::to_string(accepted->number) }, { "digest", accepted->digest } });
        } else if (const auto* withdrawn = std::get_if<wire::withdraw_key>(&command)) {
            log(r, log_level::Info, "key_withdrawn", { { "key", withdrawn->key } });
        } else if (const auto* issued = std::get_if<wire::issue_key>(&command)) {
            log(r, log_level::Info, "key_issued", { { "key", issued->key }, { "account", issued->account } });
        } else if (const auto* drained = std::get_if<wire::drain_backend>(&command)) {
            noteDrain(r, drained->backend);
        } else if (const auto* evacuated = std::get_if<wire::evacuate_domain>(&command)) {
            log(r, log_level::Info, evacuated->evacuated ? "domain_evacuated" : "domain_taken_back", { { "domain", evacuated->domain } });
        } else if (const auto* registered = std::get_if<wire::register_orderer>(&command)) {
            r.state.members.registrations.erase({ registered->backend, registered->incarnation });
        }
    }

    template <typename Command>
    constexpr bool isProgramCommand = std::is_same_v<Command, wire::open_program> || std::is_same_v<Command, wire::begin_turn> || std::is_same_v<Command, wire::commit_turn> || std::is_same_v<Command, wire::abandon_turn> || std::is_same_v<Command, wire::end_program>;

    void noteShardCommand(reduction& r, hosted_group& group, const wire::command& command)
    {
        std::visit(
            [&](const auto& alternative) {
                using type = std::decay_t<decltype(alternative)>;
                if constexpr (isProgramCommand<type>) {
                    noteActivity(r, group, alternative.program);
                } else if constexpr (std::is_same_v<type, wire::reserve_tokens>) {
                    noteReservedTurn(r, group, alternative);
                } else if constexpr (std::is_same_v<type, wire::retain_turn>) {
                    noteRetainedTurn(r, group, alternative);
                } else if constexpr (std::is_same_v<type, wire::reserve_rate>) {
                    noteReservation(r, group, alternative);
                }
            },
            command);
    }

} // namespace

void noteApplied(
    reduction& r, hosted_group& group, const wire::command& command, const wire::command_result& outcome)
{
    if (std::holds_alternative<wire::refused>(outcome)) {
        return;
    }
    if (group.group == systemGroup) {
        noteControlCommand(r, command);
    } else {
        noteShardCommand(r, group, command);
    }
}

void noteStateReplaced(reduction& r, hosted_group& group)
{
    if (group.group == systemGroup) {
        refreshManifest(r);
        refreshRoutes(r);
        return;
    }
    startLearningPrograms(r, group);
    applyLimits(r, group);
    for (const auto& [account, reservation] : group.shard.rates) {
        noteReservation(r, group, reservation);
    }
}

void startServing(reduction& r, hosted_group& group)
{
    log(r, log_level::Info, "leadership_won",
        { { "group", std::to_string(group.group) }, { "term", std::to_string(group.replica.term) } });
    if (group.group == systemGroup) {
        startMembership(r, group.replica.term);
        return;
    }
    group.clockCountedAt = r.now;
    limits::startLeading(group.authority, group.replica.term, r.now);
    startWatching(r, group);
    startRetention(r, group);
}

void stopServing(reduction& r, hosted_group& group)
{
    log(r, log_level::Info, "leadership_lost", { { "group", std::to_string(group.group) } });
    if (group.group == systemGroup) {
        stopMembership(r);
        return;
    }
    limits::stopLeading(group.authority, r.now);
    group.watch = {};
}

} // namespace cuminledge::core::controller
