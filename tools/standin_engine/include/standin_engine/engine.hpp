#pragma once

#include <cstdint>
#include <memory>

#include <base/clock.hpp>
#include <base/error.hpp>
#include <standin_engine/engine_settings.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::standin {

/**
 * A stand-in for a model engine, for tests, benches and local deployments: the engine model behind an HTTP listener.
 *
 * Callers: `POST /v1/chat/completions` (the usual chat shape; `stream` for server-sent events). A closed connection
 * cancels the request. The answer's text follows from the messages alone, so that a test can tell whose answer it is.
 * `cuminledge_program` names the sequence for the cache; `resume_text` is the start of the answer that the caller has:
 * the engine goes on after it. The header `Cuminledge-Attempt` names the attempt in the statistics.
 *
 * Others: `GET /health`, `/stats`, `/attempts`, `/load`, `/cache`, `/cache/events?after=N`, `/orders`;
 * `DELETE /cache/{program}`, `GET` and `PUT /kv/{program}`, `POST /orders`, `POST /faults`.
 */
class engine {
public:
    engine(boost::asio::io_context& context, const clock_source& clock, engine_settings settings,
        std::uint64_t incarnation);
    ~engine();

    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Binds and starts to serve. @return the port.
    result<std::uint16_t> listen();

    /// Takes no more connections; requests under way go on.
    void closeListener();

    /// @return whether a request is under way.
    [[nodiscard]] bool busy() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace cuminledge::standin
