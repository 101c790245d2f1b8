// Before Asio: its 1.74 headers use std::exchange without including this.
#include <utility>

#include <iostream>
#include <map>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <base/clock.hpp>
#include <net/peer_transport.hpp>

namespace {

using namespace cuminledge;
namespace asio = boost::asio;

constexpr int exitUsage = 2;
constexpr std::chrono::milliseconds batchInterval { 10 };

struct announcer_settings {
    std::string name = "announcers";
    std::string secret;
    std::map<std::string, std::string> controllers; ///< name to "IP:PORT"
    std::uint32_t count = 10; ///< backend servers announced
    std::chrono::milliseconds interval { 667 }; ///< between two announcements of one backend server
    std::chrono::milliseconds duration { 5000 };
};

/// Announces many backend servers over one link, as that many sidecars would over one each.
class announcers {
public:
    announcers(announcer_settings settings, const clock_source& clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_timer(m_context)
    {
    }

    int run();

private:
    void scheduleBatch();
    void announce(std::uint32_t number);
    void onMessage(const std::string& peer, const wire::message& message);

    announcer_settings m_settings;
    const clock_source& m_clock;
    asio::io_context m_context { 1 };
    asio::steady_timer m_timer;
    std::unique_ptr<net::peer_transport> m_transport;
    std::string m_leader;
    std::uint32_t m_next = 0;
    double m_due = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
    time_point m_end;
};

void announcers::announce(std::uint32_t number)
{
    wire::announce_backend announcement;
    announcement.request = ++m_sent;
    auto& record = announcement.backend;
    record.backend = "fleet-" + std::to_string(number);
    record.sidecar = "fleet-sidecar-" + std::to_string(number);
    record.incarnation = 1;
    record.sidecarAddress = "127.0.0.1:9";
    record.region = "region-" + std::to_string(number % 4);
    record.failureDomain = "domain-" + std::to_string(number % 9);
    record.models = { "fleet-model-" + std::to_string(number % 34) };
    record.batchLimit = 32;
    record.cacheTokens = 200000;
    m_transport->send(m_leader, announcement);
}

void announcers::onMessage(const std::string& peer, const wire::message& message)
{
    const auto* response = std::get_if<wire::announce_response>(&message);
    if (response == nullptr) {
        return;
    }
    if (response->notLeader) {
        m_leader = response->leader.empty() ? m_settings.controllers.begin()->first : response->leader;
    } else if (response->accepted) {
        m_leader = peer;
        ++m_accepted;
    } else {
        ++m_refused;
    }
}

void announcers::scheduleBatch()
{
    m_timer.expires_after(batchInterval);
    m_timer.async_wait([this](const boost::system::error_code& failed) {
        if (failed || m_clock.now() > m_end) {
            m_context.stop();
            return;
        }
        m_due += static_cast<double>(m_settings.count) * static_cast<double>(batchInterval.count())
            / static_cast<double>(m_settings.interval.count());
        for (; m_due >= 1; m_due -= 1) {
            announce(m_next);
            m_next = (m_next + 1) % m_settings.count;
        }
        scheduleBatch();
    });
}

int announcers::run()
{
    net::peer_transport_settings settings;
    settings.self = { m_settings.name, "sidecar",
        static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()), "region-0",
        "domain-0" };
    settings.secret = m_settings.secret;
    net::peer_transport_handlers handlers;
    handlers.onConnected = [](const net::peer_identity&) {};
    handlers.onDisconnected = [](const std::string&, const std::string&) {};
    handlers.onMessage = [this](const std::string& peer, std::uint64_t, wire::message&& message) {
        onMessage(peer, message);
    };
    m_transport = std::make_unique<net::peer_transport>(m_context, m_clock, settings, std::move(handlers));
    for (const auto& [name, address] : m_settings.controllers) {
        m_transport->connect(name, address);
    }
    m_leader = m_settings.controllers.begin()->first;
    m_end = m_clock.now() + m_settings.duration;
    scheduleBatch();
    m_context.run();
    std::cout << "{\"sent\":" << m_sent << ",\"accepted\":" << m_accepted << ",\"refused\":" << m_refused << "}\n";
    return 0;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("standin_announcers", "Announces many backend servers from one process, for measurements.");
    auto add = options.add_options();
    add("controllers", "NAME=IP:PORT,...", cxxopts::value<std::vector<std::string>>());
    add("secret", "the fleet's shared secret", cxxopts::value<std::string>());
    add("count", "backend servers", cxxopts::value<std::uint32_t>()->default_value("10"));
    add("interval-ms", "between two announcements of one", cxxopts::value<std::int64_t>()->default_value("667"));
    add("seconds", "length of the run", cxxopts::value<std::int64_t>()->default_value("5"));
    add("help", "print this help");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = makeOptions();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        announcer_settings settings;
        settings.secret = arguments["secret"].as<std::string>();
        for (const auto& pair : arguments["controllers"].as<std::vector<std::string>>()) {
            const auto equals = pair.find('=');
            settings.controllers[pair.substr(0, equals)] = pair.substr(equals + 1);
        }
        settings.count = arguments["count"].as<std::uint32_t>();
        settings.interval = std::chrono::milliseconds(arguments["interval-ms"].as<std::int64_t>());
        settings.duration = std::chrono::seconds(arguments["seconds"].as<std::int64_t>());
        const monotonic_clock clock;
        announcers self(std::move(settings), clock);
        return self.run();
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << e.what() << "\n"
                  << options.help();
        return exitUsage;
    }
}
