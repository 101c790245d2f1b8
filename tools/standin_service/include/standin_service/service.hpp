#pragma once

#include <cstdint>
#include <memory>

#include <base/error.hpp>
#include <standin_service/service_settings.hpp>

namespace boost::asio {
class io_context;
}

namespace cuminledge::standin {

/**
 * A stand-in for a plain tool service. It executes every request it gets, also one it has executed before, and counts:
 * so it can judge whether a call ran at most once.
 *
 * `POST /{operation}` with the header `Idempotency-Key` (400 without). The answer follows from operation, key and body.
 * `GET /executions` gives {call id: times executed}; with `?by=account` {account: {call id: times}}, by the header
 * `Cuminledge-Account`. `GET /health`.
 *
 * Texts in the body ask for faults: "DELAY=N;" executes N ms later, "LOST-ANSWER" executes and closes the connection,
 * "EXECUTE-AND-DIE" executes and ends the process, "DIE-FIRST" ends it without executing, "LATE-ANSWER" executes and
 * answers late, "HANG-SERVICE" executes and never answers, "FAIL-SERVICE" answers 500 without executing.
 */
class service {
public:
    service(boost::asio::io_context& context, service_settings settings, std::uint64_t incarnation);
    ~service();

    service(const service&) = delete;
    service& operator=(const service&) = delete;

    /// Reads the executions file, binds and starts to serve. @return the port.
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
