#include <catch2/catch.hpp>

#include "forward_gateway.hpp"

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::forward;
using namespace std::chrono_literals;

namespace {

/// Replaces the servers of the service "engines".
void setEngines(forward_gateway& gateway, const std::vector<std::pair<std::string, std::string>>& versionById)
{
    std::vector<wire::backend_record> records;
    records.reserve(versionById.size());
    for (const auto& [id, version] : versionById) {
        records.push_back(forward_gateway::makeServer(id, "engines", version));
    }
    applyMembership(gateway.state.servers, records, true);
}

/// Sends a resumable stream to a server and forwards its first event. @return the request that was sent.
forward_upstream beginStream(forward_gateway& gateway)
{
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    gateway.dispatch(forward_gateway::makeHead(*sent));
    gateway.dispatch(upstream_data { sent->request, "id: 1\ndata: one\n\n" });
    REQUIRE(gateway.takeEffect<answer_data>());
    return *sent;
}

forward_request makeResumption(forward_gateway& gateway, const std::string& first)
{
    auto request = gateway.makeRequest("/draft/1");
    request.lastEvent = "1";
    request.resumedAttempt = first;
    return request;
}

template <typename Command>
std::optional<Command> commandIn(const std::optional<wire::controller_request>& request)
{
    if (!request || request->isQuery) {
        return std::nullopt;
    }
    const auto decoded = wire::decodeVariant<wire::command>(request->body, "test", "");
    const auto* command = decoded ? std::get_if<Command>(&*decoded) : nullptr;
    return command == nullptr ? std::nullopt : std::optional<Command>(*command);
}

/// @return the read of a stream's origin that the gateway sent.
wire::read_stream originRead(const wire::controller_request& request)
{
    REQUIRE(request.isQuery);
    const auto decoded = wire::decodeVariant<wire::query>(request.body, "test", "");
    REQUIRE(decoded);
    return std::get<wire::read_stream>(*decoded);
}

/// Dispatches a resumption and answers the read of its origin.
void resume(forward_gateway& gateway, const wire::stream_origin& origin)
{
    gateway.dispatch(makeResumption(gateway, "first"));
    const auto read = gateway.takeControllerRequest();
    REQUIRE(read);
    gateway.answer(*read, origin);
}

void checkRefusedAsNotRun(forward_gateway& gateway)
{
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    const auto refusal = gateway.takeEffect<refuse_caller>();
    REQUIRE(refusal);
    CHECK(refusal->code == error_code::Unavailable);
    CHECK_FALSE(refusal->mayHaveRun);
    CHECK(gateway.state.calls.empty());
    CHECK(gateway.state.callByControllerRequest.empty());
}

} // namespace

// Guards against a stream that the gateway joins from the events of two software versions.
TEST_CASE("A broken stream is resumed only at a server of the software version that began it", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" } });
    const auto first = beginStream(gateway);

    SECTION("while there is one")
    {
        setEngines(gateway, { { "e2", "v2" }, { "e3", "v2" }, { "e4", "v1" } });
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        const auto second = gateway.takeEffect<forward_upstream>();
        REQUIRE(second);
        CHECK(second->backend == "e4");
        CHECK(second->lastEvent == "1");
    }
    SECTION("and aborted once there is none")
    {
        setEngines(gateway, { { "e2", "v2" }, { "e3", "v2" } });
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        CHECK(gateway.takeEffect<abort_exchange>());
    }
    SECTION("nowhere if the server has started again meanwhile, perhaps with another version before the send")
    {
        auto reborn = forward_gateway::makeServer("e1", "engines", "v2");
        reborn.incarnation = 2;
        applyMembership(gateway.state.servers, { reborn, forward_gateway::makeServer("e5", "engines", "v1") }, false);
        gateway.takeControllerRequest();
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        CHECK(gateway.takeEffect<abort_exchange>());
        const auto record = commandIn<wire::record_stream>(gateway.takeControllerRequest());
        REQUIRE(record);
        CHECK(record->softwareVersion.empty());
    }
}

// Guards against a gateway that was cut off or stood still while a server changed its version, and resumes a stream there.
TEST_CASE("A gateway that is out of step resumes no stream before it knows the newest servers", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" }, { "e2", "v1" } });
    auto reborn = forward_gateway::makeServer("e2", "engines", "v2");
    reborn.incarnation = 2;
    const auto other = forward_gateway::makeServer("e3", "engines", "v1");
    SECTION("of a caller")
    {
        gateway.clock.advance(gateway.state.settings.maxServersAge + 1ms);
        gateway.dispatch(makeResumption(gateway, "first"));
        CHECK_FALSE(gateway.takeControllerRequest());
        gateway.dispatch(tick {});
        gateway.answerPoll({ reborn, other });
        gateway.state.servers.servers.at("e1").isGone = true;
        gateway.answer(*gateway.takeControllerRequest(), wire::stream_origin { "engines", "v1" });
        CHECK(gateway.takeEffect<forward_upstream>()->backend == "e3");
        CHECK(gateway.state.expiries.size() == 1);
    }
    SECTION("of its own")
    {
        const auto first = beginStream(gateway);
        gateway.takeControllerRequest();
        gateway.clock.advance(gateway.state.settings.maxServersAge + 1ms);
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        gateway.dispatch(tick {});
        if (first.backend == "e1") {
            gateway.answerPoll({ reborn, other });
            CHECK(gateway.takeEffect<forward_upstream>()->backend == "e3");
        } else {
            // The stream's own server: its events may be of the new version.
            gateway.answerPoll({ reborn, other });
            CHECK_FALSE(gateway.takeEffect<forward_upstream>());
            CHECK(gateway.takeEffect<abort_exchange>());
        }
    }
    SECTION("of its own, whose caller leaves first")
    {
        const auto first = beginStream(gateway);
        gateway.clock.advance(gateway.state.settings.maxServersAge + 1ms);
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        gateway.dispatch(caller_gone { firstExchange, "" });
        CHECK(gateway.state.calls.empty());
        CHECK(gateway.state.unconfirmed.empty());
    }
    SECTION("while no controller is connected: the stream is broken off, and a caller's resumption refused")
    {
        const auto first = beginStream(gateway);
        gateway.clock.advance(gateway.state.settings.maxServersAge + 1ms);
        gateway.dispatch(peer_disconnected { "c1", "" });
        gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        CHECK(gateway.takeEffect<abort_exchange>());
        gateway.dispatch(makeResumption(gateway, "first"));
        checkRefusedAsNotRun(gateway);
    }
}

// Guards against resuming where the version is not known, which would be a guess.
TEST_CASE("A stream of a server without a known software version is not resumed elsewhere", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "" } });
    const auto first = beginStream(gateway);
    setEngines(gateway, { { "e2", "" }, { "e3", "v1" } });
    gateway.dispatch(upstream_failed { first.request, upstream_phase::Answering, "reset" });
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    CHECK(gateway.takeEffect<abort_exchange>());
}

// Guards against a caller's resumption that goes on at another version than the one that began the stream.
TEST_CASE("A caller resumes a stream at the service and version that are recorded for it", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" }, { "e2", "v2" }, { "e3", "v2" } });
    gateway.dispatch(makeResumption(gateway, "first"));
    const auto read = gateway.takeControllerRequest();
    REQUIRE(read);
    CHECK(originRead(*read).attempt == "first");
    CHECK(originRead(*read).account == "alice");
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());

    gateway.answer(*read, wire::stream_origin { "engines", "v1" });
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    CHECK(sent->backend == "e1");
    CHECK(sent->lastEvent == "1");
    // The recorded request stays the one that later resumptions name.
    CHECK_FALSE(gateway.takeControllerRequest());
}

// Guards against a joined stream after all gateways have lost their memory, or the version's servers have left.
TEST_CASE("A resumption whose origin is unknown or has no server is refused at once as not run", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v2" } });

    SECTION("no record is held: the id was never sent, is another account's, or its record was not written")
    {
        resume(gateway, {});
        checkRefusedAsNotRun(gateway);
    }
    SECTION("no server of the version is left")
    {
        resume(gateway, { "engines", "v1" });
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the version was not known when the stream began")
    {
        resume(gateway, { "engines", "" });
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the route no longer leads to the service")
    {
        resume(gateway, { "shop", "v1" });
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the route gives the service no share any more")
    {
        gateway.state.configuration.table.routes[1].services = { { "engines", 0 }, { "others", 1 } };
        resume(gateway, { "engines", "v2" });
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the route retains turns, whose later turns would miss the first part")
    {
        gateway.state.configuration.table.routes[1].retainsTurns = true;
        gateway.dispatch(makeResumption(gateway, "first"));
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the caller does not name the first request")
    {
        gateway.dispatch(makeResumption(gateway, ""));
        checkRefusedAsNotRun(gateway);
    }
    SECTION("the caller names one of 100 kB")
    {
        gateway.dispatch(makeResumption(gateway, std::string(100'000, 'x')));
        checkRefusedAsNotRun(gateway);
        CHECK_FALSE(gateway.takeControllerRequest());
    }
    SECTION("no controller is connected")
    {
        gateway.dispatch(peer_disconnected { "c1", "silent" });
        gateway.dispatch(makeResumption(gateway, "first"));
        checkRefusedAsNotRun(gateway);
    }
}

// Guards against holding up or ending streams while the controllers are slow, out of reach or out of disk space.
TEST_CASE("A stream does not wait for the record of its origin", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" } });
    gateway.out.clear();
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto sent = gateway.takeEffect<forward_upstream>();
    REQUIRE(sent);
    const auto recorded = gateway.takeControllerRequest();
    const auto command = commandIn<wire::record_stream>(recorded);
    REQUIRE(command);
    CHECK(command->attempt == sent->attempt);
    CHECK(command->account == "alice");
    CHECK(command->service == "engines");
    CHECK(command->softwareVersion == "v1");
    CHECK(command->retention > 3'000ms);

    SECTION("that is not answered") { }
    SECTION("that is refused")
    {
        gateway.answer(*recorded, wire::refused { static_cast<std::uint32_t>(error_code::Storage), "disk full", "", "" });
    }
    gateway.streamAnswer(*sent, { "id: 1\ndata: one\n\n" });
    CHECK(gateway.takeEffect<answer_data>());
    CHECK(gateway.takeEffect<end_answer>());
}

// Guards against a stale record: events of version 2 under a record that names version 1.
TEST_CASE("A stream moves to another version only before its first event, once that is recorded", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" } });
    gateway.dispatch(gateway.makeRequest("/draft/1"));
    const auto first = gateway.takeEffect<forward_upstream>();
    REQUIRE(first);
    const auto firstRecord = gateway.takeControllerRequest();
    setEngines(gateway, { { "e2", "v2" } });
    gateway.dispatch(upstream_failed { first->request, upstream_phase::Sent, "reset" });
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());
    const auto secondRecord = gateway.takeControllerRequest();
    const auto command = commandIn<wire::record_stream>(secondRecord);
    REQUIRE(command);
    CHECK(command->softwareVersion == "v2");
    CHECK(command->sequence > commandIn<wire::record_stream>(firstRecord)->sequence);
    gateway.answer(*firstRecord, wire::acknowledged {});
    CHECK_FALSE(gateway.takeEffect<forward_upstream>());

    SECTION("it runs there once the record is confirmed")
    {
        gateway.answer(*secondRecord, wire::acknowledged {});
        const auto second = gateway.takeEffect<forward_upstream>();
        REQUIRE(second);
        CHECK(second->backend == "e2");
        gateway.streamAnswer(*second, { "id: 1\ndata: one\n\n" });
        CHECK(gateway.takeEffect<end_answer>());
    }
    SECTION("it fails if the record is refused")
    {
        gateway.answer(*secondRecord, wire::refused { static_cast<std::uint32_t>(error_code::Storage), "disk full", "", "" });
        CHECK_FALSE(gateway.takeEffect<forward_upstream>());
        CHECK(gateway.takeEffect<refuse_caller>());
        CHECK(gateway.state.calls.empty());
    }
}

// Guards against a stream that alternates between versions, each time with another record to wait for.
TEST_CASE("A stream that is sent again before its first event stays at its version while there is a server", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    constexpr int streams = 20;
    for (int i = 0; i < streams; ++i) {
        setEngines(gateway, { { "e1", "v1" } });
        gateway.dispatch(gateway.makeRequest("/draft/1"));
        const auto first = gateway.takeEffect<forward_upstream>();
        REQUIRE(first);
        setEngines(gateway, { { "e1", "v1" }, { "e2", "v2" }, { "e3", "v2" }, { "e4", "v2" }, { "e5", "v1" } });
        gateway.dispatch(upstream_failed { first->request, upstream_phase::Sent, "reset" });
        const auto second = gateway.takeEffect<forward_upstream>();
        REQUIRE(second);
        CHECK(second->backend == "e5");
    }
}

// Guards against crowding all new streams on one version while two are in service.
TEST_CASE("New streams spread over the servers of all versions", "[forward][resumption]")
{
    forward_gateway gateway;
    gateway.configure();
    setEngines(gateway, { { "e1", "v1" }, { "e2", "v1" }, { "e3", "v1" }, { "e4", "v2" } });
    std::map<std::string, int> sends;
    constexpr int requests = 400;
    for (int i = 0; i < requests; ++i) {
        gateway.dispatch(gateway.makeRequest("/draft/1"));
        const auto sent = gateway.takeEffect<forward_upstream>();
        REQUIRE(sent);
        ++sends[sent->backend];
    }
    for (const auto* server : { "e1", "e2", "e3", "e4" }) {
        CHECK(sends[server] > requests / 8);
        CHECK(sends[server] < requests / 2);
    }
}
