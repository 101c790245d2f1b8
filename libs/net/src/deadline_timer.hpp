#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace cuminledge::net {

/**
 * Calls back at the deadline that is in force: the one that was set last, unless it was cleared since.
 *
 * A steady_timer alone does not do that. Once it has expired its handler is queued, and neither cancel() nor a new expiry
 * takes it back: it runs, without an error, after the handlers queued before it, which may have ended the deadline.
 *
 * Not thread-safe: used on the io_context's thread only.
 */
class deadline_timer {
public:
    explicit deadline_timer(const boost::asio::any_io_executor& executor)
        : m_timer(executor)
    {
    }

    ~deadline_timer() { ++*m_lastSet; }

    deadline_timer(const deadline_timer&) = delete;
    deadline_timer& operator=(const deadline_timer&) = delete;

    /// Replaces the deadline. The callback is never called from within set().
    template <typename Callback>
    void set(std::chrono::milliseconds timeout, Callback onExpired)
    {
        const auto own = ++*m_lastSet;
        m_timer.expires_after(timeout);
        m_timer.async_wait([lastSet = m_lastSet, own, onExpired = std::move(onExpired)](auto cancelled) {
            if (!cancelled && *lastSet == own) {
                onExpired();
            }
        });
    }

    /// Ends the deadline, if one is set; its callback is not called any more.
    void clear()
    {
        ++*m_lastSet;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    /// Number of the deadline in force. Shared with the handlers, which may run after this object is gone.
    std::shared_ptr<std::uint64_t> m_lastSet = std::make_shared<std::uint64_t>(0);
};

} // namespace cuminledge::net
