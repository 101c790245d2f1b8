#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cuminledge::net {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// A whole request, within the listener's size limits.
struct http_request {
    std::uint64_t exchange = 0; ///< names the request in every later call
    std::uint64_t connection = 0;
    std::string method; ///< upper case
    std::string target; ///< path with query, as sent
    header_list headers; ///< names in lower case
    std::string body;
};

/// A whole answer.
struct http_reply {
    std::uint32_t status = 200;
    std::string contentType = "application/json";
    header_list headers;
    std::string body;
};

/// @return the first value of the header, or an empty text. @param name in lower case.
const std::string& findHeader(const header_list& headers, const std::string& name);

/**
 * Makes a refusal as RFC 9457 describes it.
 *
 * @param code stands in the body, e.g. "too_large".
 * @param detail one sentence for a person.
 * @param mayHaveRun whether a backend server may have run the request; the body says so.
 */
http_reply makeProblem(
    std::uint32_t status, const std::string& code, const std::string& detail, bool mayHaveRun = false);

} // namespace cuminledge::net
