#pragma once

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio.hpp>

namespace cuminledge::net::test {

using tcp = boost::asio::ip::tcp;

constexpr std::chrono::seconds patience { 20 }; ///< ends a test that would wait for ever; nothing is judged by it

/// An io_context that runs on its own thread while the test's thread uses blocking sockets.
class context_thread {
public:
    context_thread()
        : m_work(boost::asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~context_thread()
    {
        m_context.stop();
        m_thread.join();
    }

    context_thread(const context_thread&) = delete;
    context_thread& operator=(const context_thread&) = delete;

    boost::asio::io_context& context() { return m_context; }

    /// Calls the function on the context's thread and waits for its result.
    template <typename Function>
    auto call(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto done = task.get_future();
        boost::asio::post(m_context, [&task] { task(); });
        return done.get();
    }

    /// Waits until the condition, looked at on the context's thread, holds. @return false if it never does.
    bool waitFor(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!call(condition)) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

/// A blocking TCP client that sends and reads raw bytes.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    }

    void send(std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    /// @return all bytes up to and with the pattern, or all there are if the connection ends first.
    std::string readUntil(const std::string& pattern)
    {
        boost::system::error_code problem;
        const auto count = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_buffer), pattern, problem);
        std::string text = m_buffer.substr(0, problem ? m_buffer.size() : count);
        m_buffer.erase(0, text.size());
        return text;
    }

    /// @return all bytes until the connection ends.
    std::string readAll()
    {
        boost::system::error_code problem;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_buffer), problem);
        return std::exchange(m_buffer, {});
    }

    void close() { m_socket.close(); }
    tcp::socket& socket() { return m_socket; }

private:
    boost::asio::io_context m_context;
    tcp::socket m_socket;
    std::string m_buffer;
};

} // namespace cuminledge::net::test
