#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>

#include <base/digest.hpp>
#include <core/caller_key.hpp>
#include <core/gateway/gateway.hpp>
#include <core/limits/rate_authority.hpp>
#include <core/sidecar/sidecar.hpp>
#include <core/store/control_state.hpp>
#include <core/store/group.hpp>
#include <core/store/shard_state.hpp>

/// Simulation of gateways, sidecars, one controller that never fails, and stand-ins for engines and services, connected
/// in memory under manual time. Tests inject faults explicitly or draw them from a seed.
namespace cuminledge::core::testing {

using std::chrono::milliseconds;

struct simulated_faults {
    unsigned duplicatedPercent = 0; ///< of all messages
    unsigned lostPercent = 0; ///< of messages to and from the controller
    milliseconds maxDelay { 5 };
};

/// The caller's view of one request.
struct caller_result {
    unsigned replies = 0; ///< complete answers, and ends and aborts of streams
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    std::string streamed; ///< concatenated content of the chunks
    bool streamEnded = false;
    bool done = false; ///< "[DONE]" was received
    bool aborted = false;
    bool tagged = false; ///< the connection was tagged with the caller's key
    header_list headers;

    [[nodiscard]] Json::Value json() const
    {
        auto parsed = parseJson(body, "test");
        return parsed ? *parsed : Json::Value();
    }
};

class call_path_simulation {
public:
    explicit call_path_simulation(std::uint64_t seed)
        : random(seed)
    {
        wire::accept_manifest accept;
        accept.number = 1;
        accept.document = manifestText(false);
        accept.digest = sha256Hex(accept.document);
        store::applyCommand(control, wire::command(accept));
        issueKey("ka", "a");
        issueKey("kb", "b");
        for (const auto* account : { "a", "b" }) {
            limits::setAccountLimit(authority, account, { 100'000, 100'000 }, now);
        }
        limits::startLeading(authority, 1, now);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Set-up
    //--------------------------------------------------------------------------------------------------------------

    /// @param repeatable whether the operation "pay" is repeatable, which runs it without idempotency records.
    static std::string manifestText(bool repeatable)
    {
        return std::string(R"({"number": 1, "client_accounts": [
            {"id": "a", "rate_per_second": 100000, "burst": 100000},
            {"id": "b", "rate_per_second": 100000, "burst": 100000}],
            "routes": [{"name": "chat", "client_accounts": ["a", "b"], "models": [{"model": "m"}], "max_tokens": 64,
                "budget_tokens": 100000, "max_turns": 50, "idle_timeout_ms": 600000}],
            "services": [{"name": "ledger", "client_accounts": "all", "operations": [
                {"name": "pay", "repeatable": )")
            + (repeatable ? "true" : "false") + R"(, "timeout_ms": 20000},
                {"name": "read", "repeatable": true, "timeout_ms": 20000}]}]})";
    }

    void acceptManifest(const std::string& document, std::uint64_t number)
    {
        control.manifest = document;
        control.manifestNumber = number;
    }

    void issueKey(const std::string& key, const std::string& account)
    {
        store::applyCommand(
            control, wire::command(wire::issue_key { key, account, "salt", hashCallerKey("salt", "secret-" + key) }));
    }

    void addGateway(const std::string& name)
    {
        auto& p = processes[name];
        p.name = name;
        p.isGateway = true;
        start(p);
    }

    void addSidecar(const std::string& name, wire::backend_kind kind)
    {
        auto& p = processes[name];
        p.name = name;
        p.kind = kind;
        start(p);
    }

    //--------------------------------------------------------------------------------------------------------------
    // Callers
    //--------------------------------------------------------------------------------------------------------------

    exchange_id request(const std::string& gatewayName, const std::string& method, const std::string& target,
        const std::string& body, std::vector<std::pair<std::string, std::string>> headers = {},
        const std::string& key = "ka")
    {
        caller_request r;
        r.exchange = ++m_lastExchange;
        r.connection = r.exchange;
        r.method = method;
        r.target = target;
        r.headers = std::move(headers);
        if (!key.empty()) {
            r.headers.emplace_back("authorization", "Bearer " + key + ".secret-" + key);
        }
        r.body = body;
        results[r.exchange];
        processEvent(processes.at(gatewayName), r);
        return r.exchange;
    }

    exchange_id chat(const std::string& gatewayName, const std::string& program, unsigned turn, const std::string& text,
        bool stream = true, const std::string& key = "ka")
    {
        std::vector<std::pair<std::string, std::string>> headers;
        if (!program.empty()) {
            headers = { { "cuminledge-program", program }, { "cuminledge-turn", std::to_string(turn) } };
        }
        const auto body = R"({"model":"m","messages":[{"role":"user","content":")" + text + R"("}],"stream":)"
            + (stream ? "true}" : "false}");
        return request(gatewayName, "POST", "/v1/chat/completions", body, headers, key);
    }

    exchange_id pay(const std::string& gatewayName, const std::string& call, const std::string& key = "ka")
    {
        return request(gatewayName, "POST", "/v1/services/ledger/pay", R"({"amount":1})",
            { { "idempotency-key", call } }, key);
    }

    std::string openProgram(const std::string& gatewayName, const std::string& key = "ka")
    {
        const auto exchange = request(gatewayName, "POST", "/v1/programs", R"({"route":"chat"})", {}, key);
        advance(milliseconds(200));
        return results.at(exchange).json()["id"].asString();
    }

    void disconnectCaller(const std::string& gatewayName, exchange_id exchange)
    {
        processEvent(processes.at(gatewayName), caller_gone { exchange, "" });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Faults
    //--------------------------------------------------------------------------------------------------------------

    void kill(const std::string& name)
    {
        auto& p = processes.at(name);
        p.alive = false;
        p.gateway.reset();
        p.sidecar.reset();
        p.desiredPeers.clear();
        dropLinks(name);
    }

    void restart(const std::string& name) { start(processes.at(name)); }

    /// Starts a graceful shutdown, as on SIGTERM.
    void shutDown(const std::string& name) { processEvent(processes.at(name), shutdown_requested {}); }

    /// Breaks the connection. Both ends notice at once, and it is re-established after `outage`.
    void cutLink(const std::string& left, const std::string& right, milliseconds outage)
    {
        dropLink(left, right);
        m_blockedUntil[linkKey(left, right)] = now + outage;
    }

    /// Restarts the sidecar's engine or service: its open exchanges fail, whether or not their work was executed.
    void crashBackend(const std::string& sidecarName)
    {
        ++engineIncarnation[sidecarName];
        std::vector<std::string> failing;
        for (auto& u : upstreams) {
            if (u.sidecar == sidecarName && u.open && u.request.request != "probe") {
                u.open = false;
                failing.push_back(u.request.request);
            }
        }
        for (const auto& request : failing) {
            processEvent(processes.at(sidecarName), upstream_failed { request, upstream_phase::Answering, "reset" });
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Time
    //--------------------------------------------------------------------------------------------------------------

    void advance(milliseconds span)
    {
        constexpr milliseconds step { 5 };
        for (auto until = now + span; now < until;) {
            now += step;
            establishLinks();
            deliverMessages();
            runUpstreams();
            for (auto& [name, p] : processes) {
                if (p.alive) {
                    processEvent(p, tick {});
                    closeDrainedListener(p);
                }
            }
            runRateAuthority();
            if (onStep) {
                onStep();
            }
        }
    }

    [[nodiscard]] bool hasPendingState(const std::string& gatewayName) const
    {
        const auto& g = *processes.at(gatewayName).gateway;
        return !g.calls.empty() || !g.callByExchange.empty() || !g.callByAttempt.empty()
            || !g.callByControllerRequest.empty() || !g.callsAwaitingOutcome.empty() || !g.rateQueues.empty();
    }

    gateway::gateway_state& gatewayOf(const std::string& name) { return *processes.at(name).gateway; }
    sidecar::sidecar_state& sidecarOf(const std::string& name) { return *processes.at(name).sidecar; }

    struct process {
        std::string name;
        bool isGateway = false;
        bool alive = false;
        wire::backend_kind kind = wire::backend_kind::Engine;
        std::uint64_t incarnation = 0;
        std::mt19937_64 random;
        std::unique_ptr<gateway::gateway_state> gateway;
        std::unique_ptr<sidecar::sidecar_state> sidecar;
        std::set<std::string> desiredPeers; ///< peers that it maintains a connection to
        std::vector<effect> recordedEffects; ///< effects that tests inspect
    };

    struct upstream {
        std::string sidecar;
        start_upstream request;
        bool open = true; ///< the sidecar still waits for the answer
        bool executed = false;
        bool answered = false;
        time_point nextAt;
        std::vector<std::string> chunks;
        std::size_t next = 0;
    };

    std::mt19937_64 random;
    time_point now { std::chrono::hours(1) };
    simulated_faults faults;
    std::map<std::string, process> processes;
    std::map<exchange_id, caller_result> results;
    std::map<std::string, unsigned> executions; ///< number of service executions, by "account/call"
    std::vector<std::string> prompts; ///< the messages of each request to an engine
    std::map<std::string, wire::backend_record> announced;
    store::shard_state shard;
    store::control_state control;
    limits::rate_authority authority;
    bool controllerAnswers = true; ///< false: the controller ignores requests
    milliseconds serviceTime { 20 };
    milliseconds chunkInterval { 10 };
    std::function<void()> onStep;
    std::function<bool(const std::string& from, const std::string& to, const wire::message&)> dropMessage;
    std::map<std::string, std::uint64_t> engineIncarnation;
    std::vector<upstream> upstreams;
    unsigned upstreamsWithKey = 0; ///< requests to backend servers that contained a caller's key
    unsigned cancelledUpstreams = 0;

private:
    struct message_in_flight {
        time_point at;
        std::uint64_t epoch = 0;
        std::string from;
        std::string to;
        wire::message body;
    };

    static constexpr const char* controllerName = "controller-1";

    static std::pair<std::string, std::string> linkKey(const std::string& a, const std::string& b)
    {
        return a < b ? std::pair(a, b) : std::pair(b, a);
    }

    /// As the host does: the callers' connections close once their answers are sent.
    void closeDrainedListener(process& p)
    {
        const bool isDraining = p.gateway && p.gateway->shutdown == gateway::shutdown_phase::Draining;
        if (isDraining && !p.gateway->isDrained && p.gateway->callByExchange.empty()) {
            processEvent(p, listeners_drained {});
        }
    }

    void start(process& p)
    {
        p.alive = true;
        ++p.incarnation;
        p.random.seed(random());
        process_identity identity { p.name, "r", "fd", p.incarnation };
        if (p.isGateway) {
            p.gateway = std::make_unique<gateway::gateway_state>();
            p.gateway->identity = identity;
            p.gateway->settings.controllers = { { controllerName, "c:1" } };
        } else {
            p.sidecar = std::make_unique<sidecar::sidecar_state>();
            p.sidecar->identity = identity;
            auto& settings = p.sidecar->settings;
            settings.controllers = { { controllerName, "c:1" } };
            settings.backend = "be-" + p.name;
            settings.kind = p.kind;
            settings.backendAddress = "b:" + p.name;
            settings.peerAddress = p.name;
            settings.models = { p.kind == wire::backend_kind::Engine ? "m" : "ledger" };
            settings.cacheTokens = 100'000;
            engineIncarnation.try_emplace(p.name, 1);
        }
        processEvent(p, process_started { 1, p.incarnation });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Network
    //--------------------------------------------------------------------------------------------------------------

    bool isAlive(const std::string& name)
    {
        const auto found = processes.find(name);
        return name == controllerName || (found != processes.end() && found->second.alive);
    }

    void establishLinks()
    {
        for (auto& [name, p] : processes) {
            const auto desiredPeers = p.desiredPeers;
            for (const auto& peer : desiredPeers) {
                const auto link = linkKey(name, peer);
                if (!p.alive || m_links.contains(link) || !isAlive(peer) || now < m_blockedUntil[link]) {
                    continue;
                }
                m_links[link] = ++m_lastConnection;
                const auto peerIncarnation = peer == controllerName ? 1 : processes.at(peer).incarnation;
                if (peer != controllerName) {
                    processEvent(processes.at(peer), peer_connected { name, "gateway", p.incarnation });
                }
                processEvent(p, peer_connected { peer, "", peerIncarnation });
            }
        }
    }

    void dropLink(const std::string& left, const std::string& right)
    {
        if (m_links.erase(linkKey(left, right)) == 0) {
            return;
        }
        for (const auto& [here, there] : { std::pair(left, right), std::pair(right, left) }) {
            const auto found = processes.find(here);
            if (found != processes.end() && found->second.alive) {
                processEvent(found->second, peer_disconnected { there, "cut" });
            }
        }
    }

    void dropLinks(const std::string& name)
    {
        std::vector<std::pair<std::string, std::string>> found;
        for (const auto& [link, epoch] : m_links) {
            if (link.first == name || link.second == name) {
                found.push_back(link);
            }
        }
        for (const auto& [left, right] : found) {
            dropLink(left, right);
        }
        for (auto& u : upstreams) {
            u.open = u.open && u.sidecar != name;
        }
    }

    bool drawChance(unsigned percent) { return percent > 0 && random() % 100 < percent; }

    void sendMessage(const std::string& from, const std::string& to, const wire::message& body)
    {
        const auto link = m_links.find(linkKey(from, to));
        const bool involvesController = from == controllerName || to == controllerName;
        if (link == m_links.end() || (involvesController && drawChance(faults.lostPercent))
            || (dropMessage && dropMessage(from, to, body))) {
            return;
        }
        // Every message is encoded and decoded, as on a real connection.
        auto decoded = wire::decodeVariant<wire::message>(wire::encodeVariant(body), "test", from);
        const auto delay
            = milliseconds(1 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(faults.maxDelay.count())));
        const auto at = std::max(now + delay, m_lastArrival[{ from, to }]);
        m_lastArrival[{ from, to }] = at;
        m_messagesInFlight.push_back({ at, link->second, from, to, *decoded });
        if (drawChance(faults.duplicatedPercent)) {
            m_messagesInFlight.push_back({ at + delay * 3, link->second, from, to, std::move(*decoded) });
        }
    }

    void deliverMessages()
    {
        std::vector<message_in_flight> due;
        std::vector<message_in_flight> later;
        for (auto& f : m_messagesInFlight) {
            (f.at <= now ? due : later).push_back(std::move(f));
        }
        m_messagesInFlight = std::move(later);
        std::stable_sort(due.begin(), due.end(),
            [](const message_in_flight& a, const message_in_flight& b) { return a.at < b.at; });
        for (auto& f : due) {
            const auto link = m_links.find(linkKey(f.from, f.to));
            if (link == m_links.end() || link->second != f.epoch) {
                continue;
            }
            if (f.to == controllerName) {
                handleControllerMessage(f.from, f.body);
            } else {
                const auto incarnation = f.from == controllerName ? 1 : processes.at(f.from).incarnation;
                processEvent(processes.at(f.to), peer_message { f.from, incarnation, std::move(f.body) });
            }
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Controller
    //--------------------------------------------------------------------------------------------------------------

    void handleControllerMessage(const std::string& from, const wire::message& body)
    {
        if (!controllerAnswers) {
            return;
        }
        if (const auto* m = std::get_if<wire::controller_request>(&body)) {
            sendMessage(controllerName, from, answerRequest(*m));
        } else if (const auto* poll = std::get_if<wire::config_poll>(&body)) {
            sendMessage(controllerName, from, makeConfigurationUpdate(*poll));
        } else if (const auto* announcement = std::get_if<wire::announce_backend>(&body)) {
            wire::announce_response response;
            response.request = announcement->request;
            response.accepted = true;
            response.lease = milliseconds(3'000);
            announced[announcement->backend.backend] = announcement->backend;
            if (announcement->leaving) {
                announced.erase(announcement->backend.backend);
            }
            sendMessage(controllerName, from, response);
        } else if (const auto* rate = std::get_if<wire::rate_lease_request>(&body)) {
            limits::onRateRequest(authority, from, *rate, now, m_authorityOutput);
        }
    }

    wire::controller_response answerRequest(const wire::controller_request& m)
    {
        wire::controller_response response;
        response.request = m.request;
        response.group = m.group;
        if (m.isQuery) {
            const auto read = wire::decodeVariant<wire::query>(m.body, "test", "");
            response.body = wire::encodeVariant(store::query(shard, *read));
        } else {
            const auto command = wire::decodeVariant<wire::command>(m.body, "test", "");
            response.body = wire::encodeVariant(
                m.group == 0 ? store::applyCommand(control, *command) : store::applyCommand(shard, *command));
        }
        return response;
    }

    wire::config_update makeConfigurationUpdate(const wire::config_poll& poll)
    {
        wire::config_update update;
        update.request = poll.request;
        update.lease = milliseconds(2'000);
        update.manifestNumber = control.manifestNumber;
        update.manifest = poll.manifestNumber == control.manifestNumber ? "" : control.manifest;
        update.keysComplete = true;
        for (const auto& [id, record] : control.keys) {
            if (!record.withdrawn) {
                update.keys.push_back(record);
            }
        }
        update.membershipComplete = true;
        for (const auto& [id, record] : announced) {
            update.backends.push_back(record);
        }
        update.quarantineComplete = true;
        for (const auto& [fingerprint, crash] : control.crashes) {
            if (!crash.cleared) {
                update.quarantine.push_back({ fingerprint, crash.account,
                    static_cast<std::uint32_t>(crash.deaths.size()), crash.quarantined, false });
            }
        }
        return update;
    }

    void runRateAuthority()
    {
        limits::tickAuthority(authority, now, m_authorityOutput);
        while (!m_authorityOutput.reservations.empty()) {
            const auto reservations = std::exchange(m_authorityOutput.reservations, {});
            for (const auto& reservation : reservations) {
                limits::onReservationApplied(authority, reservation, now, m_authorityOutput);
            }
        }
        for (const auto& [peer, grant] : std::exchange(m_authorityOutput.grants, {})) {
            sendMessage(controllerName, peer, grant);
        }
        for (const auto& [peer, recall] : std::exchange(m_authorityOutput.recalls, {})) {
            sendMessage(controllerName, peer, recall);
        }
    }

    //--------------------------------------------------------------------------------------------------------------
    // Backend servers
    //--------------------------------------------------------------------------------------------------------------

    void runUpstreams()
    {
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            if (!upstreams[i].answered && upstreams[i].nextAt <= now) {
                runUpstream(i);
            }
        }
    }

    /// Delivers an event of the exchange to its sidecar. This may start further exchanges and reallocate `upstreams`,
    /// so callers must not keep references into it across the call.
    void deliverUpstreamEvent(std::size_t index, const event& e)
    {
        if (upstreams[index].open) {
            const auto name = upstreams[index].sidecar;
            processEvent(processes.at(name), e);
        }
    }

    void answerCompletely(std::size_t index, const std::string& body)
    {
        upstreams[index].answered = true;
        const auto id = upstreams[index].request.request;
        deliverUpstreamEvent(index, upstream_response { id, 200 });
        deliverUpstreamEvent(index, upstream_data { id, body });
        deliverUpstreamEvent(index, upstream_finished { id });
    }

    void runUpstream(std::size_t index)
    {
        const auto& target = upstreams[index].request.target;
        if (target == "/v1/chat/completions") {
            generateAnswer(index);
        } else if (target == "/stats") {
            answerCompletely(
                index, R"({"incarnation":)" + std::to_string(engineIncarnation[upstreams[index].sidecar]) + "}");
        } else if (target.starts_with("/cache") || target == "/health") {
            answerCompletely(index, R"({"sequence":0,"programs":{}})");
        } else {
            executeCall(index);
        }
    }

    static std::string headerOf(const start_upstream& request, const std::string& name)
    {
        for (const auto& [header, value] : request.headers) {
            if (header == name) {
                return value;
            }
        }
        return {};
    }

    void executeCall(std::size_t index)
    {
        auto& u = upstreams[index];
        if (!u.executed) {
            u.executed = true;
            ++executions[headerOf(u.request, "Cuminledge-Account") + "/" + headerOf(u.request, "Idempotency-Key")];
            u.nextAt = now + serviceTime;
            return;
        }
        answerCompletely(index, R"({"paid":true})");
    }

    void generateAnswer(std::size_t index)
    {
        auto& u = upstreams[index];
        const auto id = u.request.request;
        if (!u.executed) {
            u.executed = true;
            const auto body = *parseJson(u.request.body, "test");
            prompts.push_back(writeJson(body["messages"]));
            // The answer depends only on the whole prompt, so an answer resumed on another engine is the same.
            const auto answer = "answer-" + sha256Hex(prompts.back()).substr(0, 32);
            const auto resumed = body.isMember("resume_text") ? body["resume_text"].asString() : "";
            for (auto at = resumed.size(); at < answer.size(); at += 4) {
                u.chunks.push_back(answer.substr(at, 4));
            }
            u.nextAt = now + chunkInterval;
            deliverUpstreamEvent(index, upstream_response { id, 200 });
            return;
        }
        if (u.next < u.chunks.size()) {
            Json::Value chunk;
            chunk["choices"][0]["delta"]["content"] = u.chunks[u.next++];
            u.nextAt = now + chunkInterval;
            deliverUpstreamEvent(index, upstream_data { id, writeJson(chunk) });
            return;
        }
        u.answered = true;
        const auto tokens = std::to_string(u.chunks.size());
        deliverUpstreamEvent(index,
            upstream_data { id,
                R"({"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":20,"cached_tokens":0,"completion_tokens":)"
                    + tokens + "}}" });
        deliverUpstreamEvent(index, upstream_data { id, "[DONE]" });
        deliverUpstreamEvent(index, upstream_finished { id });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Effects
    //--------------------------------------------------------------------------------------------------------------

    void processEvent(process& p, const event& e)
    {
        if (!p.alive) {
            return;
        }
        effects out;
        if (p.isGateway) {
            gateway::reduceGateway(*p.gateway, e, now, p.random, out);
        } else {
            sidecar::reduceSidecar(*p.sidecar, e, now, p.random, out);
        }
        for (const auto& producedEffect : out) {
            applyEffect(p, producedEffect);
        }
    }

    void applyEffect(process& p, const effect& e)
    {
        if (const auto* m = std::get_if<send_message>(&e)) {
            sendMessage(p.name, m->peer, m->body);
        } else if (const auto* connected = std::get_if<connect_peer>(&e)) {
            p.desiredPeers.insert(connected->peer);
        } else if (const auto* disconnected = std::get_if<disconnect_peer>(&e)) {
            p.desiredPeers.erase(disconnected->peer);
        } else if (const auto* started = std::get_if<start_upstream>(&e)) {
            upstreamsWithKey += wire::encodeStruct(started->headers).find("secret-") != std::string::npos ? 1U : 0U;
            upstreams.push_back({ p.name, *started, true, false, false, now + milliseconds(5), {}, 0 });
        } else if (const auto* cancelled = std::get_if<cancel_upstream>(&e)) {
            ++cancelledUpstreams;
            for (auto& u : upstreams) {
                const bool matches = u.sidecar == p.name && u.request.request == cancelled->request;
                u.open = u.open && !matches;
            }
        } else if (const auto* reply = std::get_if<reply_to_caller>(&e)) {
            auto& r = results[reply->exchange];
            ++r.replies;
            r.status = reply->status;
            r.contentType = reply->contentType;
            r.headers = reply->headers;
            r.body = reply->body;
        } else if (const auto* stream = std::get_if<begin_stream>(&e)) {
            results[stream->exchange].headers = stream->headers;
            results[stream->exchange].status = 200;
        } else if (const auto* streamed = std::get_if<stream_event>(&e)) {
            recordStreamEvent(*streamed);
        } else if (const auto* ended = std::get_if<end_stream>(&e)) {
            results[ended->exchange].streamEnded = true;
            ++results[ended->exchange].replies;
        } else if (const auto* aborted = std::get_if<abort_exchange>(&e)) {
            results[aborted->exchange].aborted = true;
            ++results[aborted->exchange].replies;
        } else if (const auto* tagged = std::get_if<tag_connection>(&e)) {
            results[tagged->exchange].tagged = true;
        } else if (std::holds_alternative<close_key_connections>(e) || std::holds_alternative<set_ready>(e)
            || std::holds_alternative<close_listeners>(e) || std::holds_alternative<stop_process>(e)) {
            p.recordedEffects.push_back(e);
        }
    }

    void recordStreamEvent(const stream_event& streamed)
    {
        auto& r = results[streamed.exchange];
        if (streamed.data == "[DONE]") {
            r.done = true;
            return;
        }
        const auto parsed = parseJson(streamed.data, "test");
        if (parsed && parsed->isMember("error")) {
            r.body = writeJson((*parsed)["error"]);
        } else if (parsed) {
            r.streamed += (*parsed)["choices"][0]["delta"]["content"].asString();
        }
    }

    std::map<std::pair<std::string, std::string>, std::uint64_t> m_links; ///< connection number by pair of peers
    std::map<std::pair<std::string, std::string>, time_point> m_blockedUntil;
    std::map<std::pair<std::string, std::string>, time_point> m_lastArrival;
    std::uint64_t m_lastConnection = 0;
    std::vector<message_in_flight> m_messagesInFlight;
    limits::authority_output m_authorityOutput;
    exchange_id m_lastExchange = 0;
};

} // namespace cuminledge::core::testing
