#include <net/http_message.hpp>

#include <algorithm>

#include <base/json.hpp>

namespace cuminledge::net {

const std::string& findHeader(const header_list& headers, const std::string& name)
{
    static const std::string none;
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto& h) { return h.first == name; });
    return found == headers.end() ? none : found->second;
}

http_reply makeProblem(std::uint32_t status, const std::string& code, const std::string& detail, bool mayHaveRun)
{
    Json::Value body(Json::objectValue);
    body["status"] = status;
    body["code"] = code;
    body["title"] = code;
    body["detail"] = detail;
    body["ran"] = mayHaveRun ? "unknown" : "not_run";
    return { status, "application/problem+json", {}, writeJson(body) };
}

} // namespace cuminledge::net
