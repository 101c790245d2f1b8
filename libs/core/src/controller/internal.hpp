#pragma once

#include <optional>
#include <string>

#include <json/value.h>

#include <core/controller/controller.hpp>

/// What the parts of the controller call of one another.
namespace cuminledge::core::controller {

/// What every step of one event's reduction works on.
struct reduction {
    controller_state& state;
    const process_identity& self;
    time_point now;
    std::mt19937_64& random;
    effects& out;
};

//------------------------------------------------------------------------------------------------------------------
// groups.cpp: replicas, proposals and their outcomes
//------------------------------------------------------------------------------------------------------------------

/// @return the group, or null before its replica is loaded or where there is none.
hosted_group* findGroup(controller_state& state, std::uint32_t group);

/// @return whether this controller leads the group and holds a lease now.
bool mayServe(const hosted_group& group, time_point now);

/// A piece of the snapshot of the replica that is loaded next.
void loadPiece(reduction& r, const piece_loaded& loaded);
void loadReplica(reduction& r, const replica_loaded& loaded);
void receiveEnvelope(reduction& r, const std::string& peer, const wire::consensus_envelope& envelope);
void notePersisted(reduction& r, const log_persisted& persisted);
void noteStorageFailed(reduction& r, const storage_failed& failed);
void tickGroups(reduction& r);

/// Puts a command into the group's log. @return an error where it was not; the origin is answered only on success.
result<void> propose(reduction& r, hosted_group& group, const wire::command& command, proposal_origin origin);

/// Hands every leadership over. @return whether this controller leads nothing any more.
bool handOver(reduction& r);

//------------------------------------------------------------------------------------------------------------------
// directory.cpp: which controllers there are
//------------------------------------------------------------------------------------------------------------------

/// Takes the controllers of the settings, and connects to them.
void startDirectory(reduction& r);

/// Adds a controller that has shown itself, and connects to it.
void learnController(reduction& r, const std::string& name);

/// The configuration of a group this controller hosts may have changed.
void followConfiguration(reduction& r, const hosted_group& group);

/// Another controller's directory. An older one than is held changes nothing.
void receiveDirectory(reduction& r, const wire::controller_directory& update);

/// Tells a process which controllers there are, if more is known than its settings say.
void sendDirectory(reduction& r, const std::string& peer);

//------------------------------------------------------------------------------------------------------------------
// duties.cpp: what follows from applied commands and from leadership
//------------------------------------------------------------------------------------------------------------------

/// The replicated state of the group was replaced by a snapshot.
void noteStateReplaced(reduction& r, hosted_group& group);

/// A command was applied.
void noteApplied(
    reduction& r, hosted_group& group, const wire::command& command, const wire::command_result& outcome);

void startServing(reduction& r, hosted_group& group);
void stopServing(reduction& r, hosted_group& group);

//------------------------------------------------------------------------------------------------------------------
// programs.cpp: idle programs and lost turns
//------------------------------------------------------------------------------------------------------------------

void startWatching(reduction& r, hosted_group& group);
void noteActivity(reduction& r, hosted_group& group, const std::string& program);
void checkPrograms(reduction& r, hosted_group& group);

/// Proposes the time that has passed, from time to time, while budgets or retained turns are held.
void countTime(reduction& r, hosted_group& group);

//------------------------------------------------------------------------------------------------------------------
// retention.cpp: room for the turns that a group retains
//------------------------------------------------------------------------------------------------------------------

/// The group's state was loaded or replaced.
void startLearningPrograms(reduction& r, hosted_group& group);

void startRetention(reduction& r, hosted_group& group);

/// @return why the command is not proposed: the turns that it brings don't fit. Nothing if they do.
std::optional<wire::refused> refuseForRoom(reduction& r, hosted_group& group, const wire::command& command);

/// Tells operators at regular times how much room there is and who was admitted.
void reportRetention(reduction& r, const hosted_group& group);

/// The tokens of a turn were reserved: it may be the first one of its program.
void noteReservedTurn(reduction& r, hosted_group& group, const wire::reserve_tokens& command);

/// A turn was retained.
void noteRetainedTurn(reduction& r, hosted_group& group, const wire::retain_turn& turn);

//------------------------------------------------------------------------------------------------------------------
// rates.cpp
//------------------------------------------------------------------------------------------------------------------

void applyLimits(reduction& r, hosted_group& group);
void receiveRateRequest(reduction& r, const std::string& peer, const wire::rate_lease_request& request);
void noteReservation(reduction& r, hosted_group& group, const wire::reserve_rate& reservation);
void tickRates(reduction& r, hosted_group& group);

//------------------------------------------------------------------------------------------------------------------
// membership.cpp
//------------------------------------------------------------------------------------------------------------------

void startMembership(reduction& r, std::uint64_t epoch);
void stopMembership(reduction& r);
void receiveAnnouncement(reduction& r, const std::string& peer, const wire::announce_backend& announcement);
void noteDrain(reduction& r, const std::string& backend);
void lapseAnnouncements(reduction& r);

//------------------------------------------------------------------------------------------------------------------
// config.cpp, requests.cpp, operators.cpp, dump.cpp
//------------------------------------------------------------------------------------------------------------------

void receivePoll(reduction& r, const std::string& peer, const wire::config_poll& poll);

void receiveRequest(reduction& r, const std::string& peer, const wire::controller_request& request);
void answerPeer(reduction& r, std::uint32_t group, const peer_origin& origin, const wire::command_result& outcome);
void redirectPeer(reduction& r, std::uint32_t group, const std::string& peer, std::uint64_t request);

void receiveOperator(reduction& r, const operator_request& request);
void answerOperator(reduction& r, const operator_origin& origin, const wire::command_result& outcome);
void answerOutcomeUnknown(reduction& r, const operator_origin& origin);

//------------------------------------------------------------------------------------------------------------------
// control_calls.cpp: backend servers that announce themselves, and operators of deployments with route tables
//------------------------------------------------------------------------------------------------------------------

void receiveServer(reduction& r, const server_announcement& announcement);
void receiveDeparture(reduction& r, const server_departure& departure);
void submitRoutes(reduction& r, const routes_submission& submission);
void showRoutes(reduction& r, const routes_query& query);
void receiveRetirement(reduction& r, const retirement_request& request);
void receiveEvacuation(reduction& r, const evacuation_request& request);

/// @return whether the settings name the failure domain, or a backend server has announced itself there.
bool isFailureDomain(const controller_state& state, const std::string& domain);

void answerControl(reduction& r, const control_origin& origin, const wire::command_result& outcome);
void redirectControl(reduction& r, exchange_id exchange);

//------------------------------------------------------------------------------------------------------------------
// membership.cpp, for servers that announce themselves
//------------------------------------------------------------------------------------------------------------------

/// Takes a valid announcement of a server without a sidecar; a late or doubled one changes nothing.
void takeServer(reduction& r, const server_announcement& announcement);

/// Takes what the gateway has under way at engines, and tells it what the others have.
void exchangeLoads(reduction& r, const std::string& gateway, const wire::config_poll& poll, wire::config_update& update);

/// A change of what is known of a server is committed.
void noteServer(reduction& r, const wire::note_server& change);
/// A server leaves; a later incarnation of it stays.
void withdrawServer(reduction& r, const server_departure& departure);

Json::Value describeGroups(const controller_state& state, time_point now);
Json::Value describeBackend(const wire::backend_record& record);
void replyWithDump(reduction& r, exchange_id exchange);

/// @return the controller that leads the group as far as is known; empty if unknown.
std::string leaderOf(controller_state& state, std::uint32_t group);

/// @return the texts in one, for a log line.
std::string joined(const std::vector<std::string>& texts, const char* separator);

void log(reduction& r, log_level level, std::string event, std::vector<std::pair<std::string, std::string>> fields);

} // namespace cuminledge::core::controller
