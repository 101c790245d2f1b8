#include <standin_common/standin_program.hpp>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <base/log.hpp>

namespace cuminledge::standin {

namespace {

    constexpr int usageExitCode = 2;

    /// Ends the context once the server has nothing under way.
    class shutdown_watch {
    public:
        shutdown_watch(boost::asio::io_context& context, const server_calls& server)
            : m_context(context)
            , m_server(server)
            , m_signals(context, SIGTERM, SIGINT)
            , m_timer(context)
        {
            waitForSignal();
        }

    private:
        void waitForSignal()
        {
            m_signals.async_wait([this](auto cancelled, int) {
                if (cancelled) {
                    return;
                }
                if (m_stopping) {
                    m_context.stop();
                    return;
                }
                m_stopping = true;
                logEvent(log_level::Info, "shutdown_started", {});
                m_server.closeListener();
                waitForSignal();
                waitUntilIdle();
            });
        }

        void waitUntilIdle()
        {
            constexpr auto interval = std::chrono::milliseconds(20);
            if (!m_server.busy()) {
                m_context.stop();
                return;
            }
            m_timer.expires_after(interval);
            m_timer.async_wait([this](auto cancelled) {
                if (!cancelled) {
                    waitUntilIdle();
                }
            });
        }

        boost::asio::io_context& m_context;
        const server_calls& m_server;
        boost::asio::signal_set m_signals;
        boost::asio::steady_timer m_timer;
        bool m_stopping = false;
    };

} // namespace

program_start readCommandLine(int argc, char** argv, const std::string& name, const std::string& purpose)
{
    cxxopts::Options options(name, purpose);
    options.add_options()("config", "settings, a JSON file", cxxopts::value<std::string>())(
        "listen", "IP:PORT to listen at; port 0 takes a free one", cxxopts::value<std::string>())(
        "help", "print this and exit")("version", "print the version and exit");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help() << '\n';
            return tl::unexpected<int>(0);
        }
        if (given.count("version") != 0) {
            std::cout << name << ' ' << CUMINLEDGE_VERSION << '\n';
            return tl::unexpected<int>(0);
        }
        program_options read;
        if (given.count("listen") != 0) {
            read.listenAddress = given["listen"].as<std::string>();
        }
        if (given.count("config") != 0) {
            const auto path = given["config"].as<std::string>();
            std::ifstream file(path);
            if (!file) {
                std::cerr << name << ": can't read " << path << '\n';
                return tl::unexpected<int>(usageExitCode);
            }
            std::ostringstream text;
            text << file.rdbuf();
            read.settings = text.str();
        }
        return read;
    } catch (const cxxopts::exceptions::exception& e) {
        std::cerr << name << ": " << e.what() << '\n';
        return tl::unexpected<int>(usageExitCode);
    }
}

std::uint64_t makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

int serve(boost::asio::io_context& context, const std::string& name, const server_calls& server)
{
    startLog(name, log_level::Info);
    const auto port = server.listen();
    if (!port) {
        logEvent(log_level::Error, "listen_failed", { { "error", describe(port.error()) } });
        return 1;
    }
    logEvent(log_level::Info, "listening", { { "port", std::to_string(*port) } });
    const shutdown_watch watch(context, server);
    context.run();
    logEvent(log_level::Info, "stopped", {});
    return 0;
}

} // namespace cuminledge::standin
