// Before Asio: its 1.74 headers use std::exchange without including this.
#include <utility>

#include <host/process.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <fstream>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <base/digest.hpp>
#include <base/json.hpp>
#include <base/log.hpp>
#include <core/trace.hpp>
#include <host/metrics.hpp>
#include <net/http_client.hpp>
#include <net/http_server.hpp>
#include <net/peer_transport.hpp>
#include <net/rpc_connector.hpp>

#include "admin_listener.hpp"
#include "disk.hpp"
#include "host_report.hpp"
#include "net_to_core.hpp"
#include "shutdown_signals.hpp"

namespace cuminledge::host {

namespace asio = boost::asio;

namespace {

    constexpr std::uint8_t callerListenerNumber = 1;
    constexpr std::uint8_t operatorListenerNumber = 3;
    constexpr std::uint8_t controlListenerNumber = 4;
    constexpr std::size_t seedBytes = 8;
    constexpr std::size_t minRequestsHeld = 2; // of the largest size, so that one that is answered leaves room for the next
    constexpr std::size_t maxSendBytesOfCaller = 2U << 20U; // the largest event, and what came before it
    constexpr std::size_t maxSendBytesOfCallers = 24U << 20U; // waiting for all callers together
    constexpr std::size_t maxManifestRequestBytes = 20U << 20U; // the largest JSON document, quoted once more
    constexpr std::size_t maxBytesOfOperators = 2 * maxManifestRequestBytes; // of the requests of all operators together

    /// A later start has a higher number, as long as the VM's wall clock does not go back past the earlier start.
    std::uint64_t makeIncarnation()
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
    }

    net::http_server_settings makeCallerSettings(const process_settings& settings)
    {
        net::http_server_settings server;
        server.address = settings.callerAddress;
        server.listener = callerListenerNumber;
        server.maxBodyBytes = settings.maxBodyBytes;
        server.maxTotalReceiveBytes = std::max(settings.maxRequestBytes, minRequestsHeld * settings.maxBodyBytes);
        server.maxConnections = settings.maxConnections;
        server.maxSendBufferBytes = maxSendBytesOfCaller;
        server.maxTotalSendBytes = maxSendBytesOfCallers;
        return server;
    }

    net::http_server_settings makeOperatorSettings(const process_settings& settings)
    {
        net::http_server_settings server;
        server.address = settings.operatorAddress;
        server.listener = operatorListenerNumber;
        server.maxBodyBytes = maxManifestRequestBytes;
        server.maxTotalReceiveBytes = maxBytesOfOperators;
        return server;
    }

    net::http_server_settings makeControlSettings(const process_settings& settings)
    {
        auto server = makeOperatorSettings(settings);
        server.address = settings.controlAddress;
        server.listener = controlListenerNumber;
        return server;
    }

} // namespace

//------------------------------------------------------------------------------------------------------------------
// Set-up
//------------------------------------------------------------------------------------------------------------------

class process::impl {
public:
    impl(loaded_settings settings, const clock_source& clock, external_interface interface)
        : m_settings(std::move(settings.process))
        , m_interface(std::move(interface))
        , m_node(std::move(settings.node))
        , m_clock(clock)
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(m_context)
    {
    }

    int run();

    // Effects; each overload carries one out.
    void carryOut(const core::connect_peer& e) { m_transport->connect(e.peer, e.address); }
    void carryOut(const core::disconnect_peer& e) { m_transport->disconnect(e.peer); }
    void carryOut(const core::send_message& e) { m_transport->send(e.peer, e.body); }
    void carryOut(core::reply_to_caller& e)
    {
        m_callers->reply(e.exchange, { e.status, std::move(e.contentType), std::move(e.headers), std::move(e.body) });
    }
    void carryOut(const core::begin_stream& e) { m_callers->beginStream(e.exchange, e.headers); }
    void carryOut(const core::stream_event& e) { m_callers->streamEvent(e.exchange, e.data); }
    void carryOut(const core::end_stream& e) { m_callers->endStream(e.exchange); }
    void carryOut(const core::abort_exchange& e) { m_callers->abort(e.exchange); }
    void carryOut(const core::tag_connection& e) { m_callers->tagConnection(e.exchange, e.key); }
    void carryOut(const core::close_key_connections& e) { m_callers->closeTagged(e.key); }
    void carryOut(const core::reply_to_operator& e);
    void carryOut(const core::reply_dump& e) { m_admin->reply(e.exchange, addHostState(e.body)); }
    void carryOut(core::start_upstream& e);
    void carryOut(const core::cancel_upstream& e) { m_client->cancel(e.request); }
    void carryOut(const core::pause_upstream& e) { m_client->pause(e.request); }
    void carryOut(const core::resume_upstream& e) { m_client->resume(e.request); }
    void carryOut(core::persist_log& e) { m_disk->write(std::move(e)); }
    void carryOut(const core::write_log& e);
    void carryOut(const core::set_ready& e) { m_admin->setReady(e.ready, e.reason); }
    void carryOut(const core::close_listeners&);
    void carryOut(const core::stop_process& e);
    void carryOut(const core::record_metric& e) { m_metrics.add(e.name, e.value, e.isDistribution); }
    void carryOut(const core::set_gauge& e) { m_metrics.set(e.name, e.labels, e.value); }
    void carryOut(core::forward_upstream& e) { m_client->start(m_interface.encodeUpstream(std::move(e))); }
    void carryOut(const core::check_server& e);
    void carryOut(const core::begin_answer& e) { m_callers->beginAnswer(e.exchange, e.status, e.headers, e.length); }
    void carryOut(const core::answer_data& e) { m_callers->answerData(e.exchange, e.data); }
    void carryOut(const core::end_answer& e) { m_callers->endAnswer(e.exchange); }
    void carryOut(const core::refuse_caller& e) { m_callers->reply(e.exchange, m_interface.encodeRefusal(e)); }
    void carryOut(const core::announce_closing&) { m_callers->announceClosing(); }
    void carryOut(const core::reply_to_control& e);

private:
    result<void> start();
    result<void> openDisk();
    void makeTransport();
    void makeClient();
    void makeCallers();
    void makeOperators();
    void makeControl();
    void onCallerRequest(net::http_request&& request);
    void onControlRequest(net::http_request&& request);
    void onUpstreamHead(const std::string& request, net::response_head&& head);
    void onListenerDrained();
    void happen(core::event event);
    void drainEvents();
    void scheduleTick();
    void reportMemory();
    void waitForSignal();
    void checkSettings();
    [[nodiscard]] std::string addHostState(const std::string& body) const;

    process_settings m_settings;
    external_interface m_interface;
    core::node m_node;
    const clock_source& m_clock;
    asio::io_context m_context { 1 };
    asio::signal_set m_signals; ///< from the construction on: those that come before run() waits are kept
    asio::steady_timer m_timer;
    metrics m_metrics;
    std::uint64_t m_incarnation = makeIncarnation();
    std::deque<core::event> m_events;
    time_point m_nextMemoryReport {};
    bool m_draining = false;
    shutdown_signals m_shutdownSignals;
    int m_exitCode = 0;
    int m_undrainedListeners = 0; ///< closed, but with connections left
    std::ofstream m_trace;
    std::unique_ptr<net::peer_transport> m_transport;
    std::unique_ptr<net::http_client> m_client;
    std::unique_ptr<net::http_server> m_callers;
    std::unique_ptr<net::rpc_connector> m_operators;
    std::unique_ptr<net::http_server> m_control;
    std::unordered_map<std::uint64_t, std::string> m_controlTargets; ///< of control calls that are not answered yet
    std::unique_ptr<admin_listener> m_admin;
    std::unique_ptr<disk> m_disk;
};

void process::impl::makeTransport()
{
    net::peer_transport_settings settings;
    const auto& identity = m_settings.identity;
    settings.self
        = { identity.name, toString(m_settings.role), m_incarnation, identity.region, identity.failureDomain };
    settings.secret = m_settings.secret;
    settings.listenAddress = m_settings.peerAddress;
    settings.seed = m_incarnation;
    net::peer_transport_handlers handlers;
    handlers.onConnected = [this](const net::peer_identity& peer) {
        happen(core::peer_connected { peer.name, peer.role, peer.incarnation });
    };
    handlers.onDisconnected = [this](const std::string& peer, const std::string& reason) {
        happen(core::peer_disconnected { peer, reason });
    };
    handlers.onMessage = [this](const std::string& peer, std::uint64_t incarnation, wire::message&& body) {
        happen(core::peer_message { peer, incarnation, std::move(body) });
    };
    m_transport = std::make_unique<net::peer_transport>(m_context, m_clock, std::move(settings), std::move(handlers));
}

void process::impl::makeClient()
{
    net::http_client_handlers handlers;
    handlers.onResponse = [this](const std::string& request, net::response_head&& head) {
        onUpstreamHead(request, std::move(head));
    };
    handlers.onData = [this](const std::string& request, std::string&& data) {
        happen(core::upstream_data { request, std::move(data) });
    };
    handlers.onFinished = [this](const std::string& request) { happen(core::upstream_finished { request }); };
    handlers.onFailed = [this](const std::string& request, net::request_phase phase, const std::string& message) {
        happen(core::upstream_failed { request, toCore(phase), message });
    };
    net::http_client_settings settings;
    settings.connectTimeout = m_settings.connectTimeout;
    m_client = std::make_unique<net::http_client>(m_context, settings, std::move(handlers));
}

void process::impl::makeCallers()
{
    net::http_server_handlers handlers;
    handlers.onRequest = [this](net::http_request&& request) { onCallerRequest(std::move(request)); };
    handlers.onGone = [this](std::uint64_t exchange, const std::string& reason) {
        happen(core::caller_gone { exchange, reason });
    };
    handlers.onBlocked = [this](std::uint64_t exchange) { happen(core::caller_blocked { exchange }); };
    handlers.onUnblocked = [this](std::uint64_t exchange) { happen(core::caller_unblocked { exchange }); };
    handlers.onDrained = [this] { onListenerDrained(); };
    m_callers = std::make_unique<net::http_server>(m_context, makeCallerSettings(m_settings), std::move(handlers));
}

void process::impl::makeOperators()
{
    net::rpc_connector_handlers handlers;
    handlers.onCall = [this](std::uint64_t exchange, const std::string& method, const std::string& parameters) {
        happen(core::operator_request { exchange, method, parameters });
    };
    handlers.onGone = [](std::uint64_t) {};
    handlers.onDrained = [this] { onListenerDrained(); };
    m_operators = std::make_unique<net::rpc_connector>(m_context, makeOperatorSettings(m_settings),
        core::controller::operatorMethods(), std::move(handlers));
}

void process::impl::makeControl()
{
    net::http_server_handlers handlers;
    handlers.onRequest = [this](net::http_request&& request) { onControlRequest(std::move(request)); };
    handlers.onGone = [this](std::uint64_t exchange, const std::string&) { m_controlTargets.erase(exchange); };
    handlers.onDrained = [this] { onListenerDrained(); };
    m_control = std::make_unique<net::http_server>(m_context, makeControlSettings(m_settings), std::move(handlers));
}

void process::impl::onCallerRequest(net::http_request&& request)
{
    if (!m_node.forwarder) {
        happen(core::caller_request { request.exchange, request.connection, std::move(request.method),
            std::move(request.target), std::move(request.headers), std::move(request.body) });
        return;
    }
    const auto exchange = request.exchange;
    auto decoded = m_interface.decodeCaller(std::move(request));
    if (decoded) {
        happen(std::move(*decoded));
        return;
    }
    const auto& problem = decoded.error();
    logEvent(log_level::Warning, "request_unreadable", { { "message", problem.message } });
    m_callers->reply(exchange,
        m_interface.encodeRefusal({ exchange, problem.code, false, std::chrono::milliseconds(0), problem.message }));
}

void process::impl::onControlRequest(net::http_request&& request)
{
    const auto exchange = request.exchange;
    m_controlTargets[exchange] = request.target;
    auto decoded = m_interface.decodeControl(std::move(request));
    if (decoded) {
        happen(std::move(*decoded));
        return;
    }
    const auto& problem = decoded.error();
    logEvent(log_level::Warning, "control_call_unreadable",
        { { "step", problem.step }, { "message", problem.message } });
    core::reply_to_control reply;
    reply.exchange = exchange;
    reply.outcome = problem.code == error_code::NotFound ? core::control_outcome::NotFound : core::control_outcome::Invalid;
    reply.message = problem.message;
    carryOut(reply);
}

void process::impl::onUpstreamHead(const std::string& request, net::response_head&& head)
{
    if (m_node.forwarder) {
        happen(m_interface.decodeUpstream(request, std::move(head)));
    } else {
        happen(core::upstream_response { request, head.status });
    }
}

result<void> process::impl::openDisk()
{
    m_disk = std::make_unique<disk>(
        m_settings.dataFolder, m_node.controller->settings.groupCount, [this](core::event event) {
            asio::post(m_context, [this, event = std::move(event)]() mutable { happen(std::move(event)); });
        });
    auto loaded = m_disk->open();
    if (!loaded) {
        return tl::unexpected(loaded.error());
    }
    for (auto& replica : *loaded) {
        for (auto& piece : std::exchange(replica.pieces, {})) {
            m_events.emplace_back(core::piece_loaded { replica.group, std::move(piece) });
        }
        m_events.emplace_back(std::move(replica));
    }
    return {};
}

result<void> process::impl::start()
{
    if (!m_settings.traceFile.empty()) {
        m_trace.open(m_settings.traceFile, std::ios::binary | std::ios::trunc);
        if (!m_trace) {
            return failure(error_code::Storage, "cannot open " + m_settings.traceFile, "open_trace");
        }
    }
    makeTransport();
    makeClient();
    m_admin = std::make_unique<admin_listener>(m_context, m_settings.adminAddress, m_settings.readinessPath, m_metrics,
        [this](core::exchange_id exchange) { happen(core::dump_requested { exchange }); });
    if (m_settings.role == process_role::Gateway) {
        makeCallers();
    }
    const auto seed = std::stoull(randomHex(seedBytes), nullptr, 16);
    m_events.emplace_back(core::process_started { seed, m_incarnation });
    if (m_settings.role == process_role::Controller) {
        if (!m_settings.operatorAddress.empty()) {
            makeOperators();
        }
        if (!m_settings.controlAddress.empty()) {
            makeControl();
        }
        if (auto opened = openDisk(); !opened) {
            return opened;
        }
    }
    const auto check = [](const result<std::uint16_t>& port) -> result<void> {
        return port ? result<void> {} : result<void>(tl::unexpected(port.error()));
    };
    auto listening = check(m_transport->listen()).and_then([&] { return check(m_admin->listen()); });
    if (listening && m_callers) {
        listening = check(m_callers->listen());
    }
    if (listening && m_operators) {
        listening = check(m_operators->listen());
    }
    if (listening && m_control) {
        listening = check(m_control->listen());
    }
    return listening;
}

int process::impl::run()
{
    if (auto started = start(); !started) {
        const auto& problem = started.error();
        logEvent(log_level::Error, "start_failed",
            { { "step", problem.step }, { "peer", problem.peer }, { "code", cuminledge::toString(problem.code) },
                { "message", problem.message } });
        return 1;
    }
    logEvent(log_level::Info, "started",
        { { "role", toString(m_settings.role) }, { "version", CUMINLEDGE_VERSION },
            { "incarnation", std::to_string(m_incarnation) }, { "peer_address", m_settings.peerAddress },
            { "admin_address", m_settings.adminAddress } });
    bufferLog();
    waitForSignal();
    scheduleTick();
    drainEvents();
    m_context.run();
    logEvent(log_level::Info, "stopped", { { "exit_code", std::to_string(m_exitCode) } });
    flushLog();
    return m_exitCode;
}

//------------------------------------------------------------------------------------------------------------------
// Events
//------------------------------------------------------------------------------------------------------------------

void process::impl::happen(core::event event)
{
    m_events.push_back(std::move(event));
    drainEvents();
}

void process::impl::drainEvents()
{
    // Carrying out an effect may cause an event; it waits until the effects before it are carried out.
    if (m_draining) {
        return;
    }
    m_draining = true;
    core::effects caused;
    while (!m_events.empty()) {
        const auto event = std::move(m_events.front());
        m_events.pop_front();
        const auto now = m_clock.now();
        caused.clear();
        core::reduce(m_node, event, now, caused);
        if (m_trace.is_open()) {
            const auto record = core::encodeTraceRecord(now, event, caused);
            m_trace.write(record.data(), static_cast<std::streamsize>(record.size()));
        }
        for (auto& effect : caused) {
            std::visit([this](auto& one) { carryOut(one); }, effect);
        }
    }
    m_draining = false;
}

void process::impl::scheduleTick()
{
    m_timer.expires_after(m_settings.tickInterval);
    m_timer.async_wait([this](const boost::system::error_code& failed) {
        if (!failed) {
            happen(core::tick {});
            reportMemory();
            flushLog();
            scheduleTick();
        }
    });
}

void process::impl::reportMemory()
{
    constexpr std::chrono::milliseconds reportInterval { 5'000 };
    const auto now = m_clock.now();
    if (now < m_nextMemoryReport) {
        return;
    }
    m_nextMemoryReport = now + reportInterval;
    const auto memory = readProcessMemory();
    const auto waitingBytes = m_disk ? m_disk->waitingBytes() : 0;
    m_metrics.set("resident_bytes", "", static_cast<double>(memory.residentBytes));
    m_metrics.set("peak_resident_bytes", "", static_cast<double>(memory.peakBytes));
    m_metrics.set("allocated_bytes", "", static_cast<double>(memory.allocatedBytes));
    m_metrics.set("disk_waiting_bytes", "", static_cast<double>(waitingBytes));
    logEvent(log_level::Info, "process_memory",
        { { "resident_bytes", std::to_string(memory.residentBytes) }, { "peak_bytes", std::to_string(memory.peakBytes) },
            { "allocated_bytes", std::to_string(memory.allocatedBytes) },
            { "unused_bytes", std::to_string(memory.unusedBytes) },
            { "disk_waiting_bytes", std::to_string(waitingBytes) },
            { "limit_bytes", std::to_string(m_settings.memoryLimitBytes) },
            { "disk_limit_bytes", std::to_string(m_settings.diskLimitBytes) } });
}

void process::impl::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code& failed, int number) {
        if (failed) {
            return;
        }
        logEvent(log_level::Info, "signal", { { "number", std::to_string(number) } });
        if (number == SIGHUP) {
            checkSettings();
            waitForSignal();
            return;
        }
        happen(core::shutdown_requested { m_shutdownSignals.isImmediate(number) });
        waitForSignal();
    });
}

/// The settings file has changed. What it says holds from the next start on; a fault is told now, while the process
/// still runs with the settings it has.
void process::impl::checkSettings()
{
    const auto changed = loadSettings(m_settings.settingsFile, m_settings.role);
    if (!changed) {
        logEvent(log_level::Error, "reload_failed", { { "message", changed.error().message } });
        return;
    }
    logEvent(log_level::Info, "reload_checked", { { "file", m_settings.settingsFile } });
}

//------------------------------------------------------------------------------------------------------------------
// Effects
//------------------------------------------------------------------------------------------------------------------

void process::impl::carryOut(const core::reply_to_operator& e)
{
    if (e.ok) {
        m_operators->reply(e.exchange, e.body);
    } else {
        m_operators->replyError(e.exchange, e.code, e.body);
    }
}

void process::impl::carryOut(const core::reply_to_control& e)
{
    const auto target = m_controlTargets.extract(e.exchange);
    if (target) {
        m_control->reply(e.exchange, m_interface.encodeControl(e, target.mapped()));
    }
}

void process::impl::carryOut(const core::check_server& e)
{
    net::checkReachability(m_context, e.address, m_settings.connectTimeout,
        [this, server = e.server, incarnation = e.incarnation](net::reachability found) {
            happen(core::server_checked { server, incarnation, toCore(found) });
        });
}

void process::impl::carryOut(core::start_upstream& e)
{
    net::client_request request;
    request.request = std::move(e.request);
    request.address = std::move(e.address);
    request.method = std::move(e.method);
    request.target = std::move(e.target);
    request.headers = std::move(e.headers);
    request.body = std::move(e.body);
    request.eventStream = e.eventStream;
    request.freshConnection = e.freshConnection;
    request.silenceTimeout = e.silenceTimeout;
    m_client->start(std::move(request));
}

void process::impl::carryOut(const core::write_log& e)
{
    std::vector<log_field> fields;
    fields.reserve(e.fields.size());
    for (const auto& [key, value] : e.fields) {
        fields.emplace_back(key, value);
    }
    logEvent(e.level, e.event, std::span<const log_field>(fields));
}

std::string process::impl::addHostState(const std::string& body) const
{
    auto state = parseJson(body, "dump");
    if (!state || !state->isObject()) {
        return body;
    }
    auto& host = (*state)["host"];
    host["version"] = CUMINLEDGE_VERSION;
    host["incarnation"] = Json::UInt64(m_incarnation);
    host["peers"] = describePeers(*m_transport);
    if (m_callers) {
        host["callers"] = describeListener(m_callers->counts());
    }
    host["upstream"] = describeClient(m_client->counts());
    return writeJson(*state);
}

/// A gateway has one listener, a controller two at most.
void process::impl::onListenerDrained()
{
    const bool isLast = --m_undrainedListeners == 0;
    if (isLast) {
        happen(core::listeners_drained {});
    }
}

void process::impl::carryOut(const core::close_listeners&)
{
    m_undrainedListeners = (m_callers ? 1 : 0) + (m_operators ? 1 : 0) + (m_control ? 1 : 0);
    if (m_undrainedListeners == 0) {
        happen(core::listeners_drained {});
    }
    if (m_callers) {
        m_callers->closeListener();
    }
    if (m_operators) {
        m_operators->closeListener();
    }
    if (m_control) {
        m_control->closeListener();
    }
}

void process::impl::carryOut(const core::stop_process& e)
{
    m_exitCode = e.exitCode;
    if (m_callers) {
        logStoppedListener("callers", m_callers->counts());
    }
    if (m_operators) {
        logStoppedListener("operators", m_operators->counts());
    }
    if (m_control) {
        logStoppedListener("control", m_control->counts());
    }
    m_context.stop();
}

//------------------------------------------------------------------------------------------------------------------

process::process(loaded_settings settings, const clock_source& clock, external_interface interface)
    : m_impl(std::make_unique<impl>(std::move(settings), clock, std::move(interface)))
{
}

process::~process() = default;

int process::run()
{
    return m_impl->run();
}

} // namespace cuminledge::host
