#include <ctl/controller_caller.hpp>

#include <optional>
#include <thread>
#include <utility>

#include <base/json.hpp>

namespace cuminledge::ctl {

namespace {

    constexpr std::chrono::milliseconds pauseBetweenRounds { 250 };

    /// What was learned so far of one call.
    struct call_progress {
        bool mayBeDone = false; ///< a controller got it and its answer was lost
        std::string leader; ///< the hint of the last controller that does not lead
        std::string problem = "no controller was reached";
    };

    Json::Value errorBody(const std::string& code, const std::string& message)
    {
        Json::Value body(Json::objectValue);
        body["code"] = code;
        body["message"] = message;
        return body;
    }

    Json::Value parseBody(const net::rpc_answer& answer)
    {
        const auto parsed = parseJson(answer.body, "read_answer");
        if (parsed && (answer.status == net::rpc_status::Ok || parsed->isObject())) {
            return *parsed;
        }
        return errorBody("protocol", answer.message);
    }

    /// @return the answer, where this one ends the call.
    std::optional<call_answer> take(const net::rpc_answer& answer, const std::string& address, call_progress& progress)
    {
        if (answer.status == net::rpc_status::Ok) {
            return call_answer { call_outcome::Done, parseBody(answer) };
        }
        if (answer.status != net::rpc_status::Refused) {
            progress.mayBeDone = progress.mayBeDone || answer.status == net::rpc_status::Unknown;
            progress.problem = address + ": " + answer.message;
            return std::nullopt;
        }
        auto body = parseBody(answer);
        if (body["code"] == "not_leader") {
            progress.leader = body["leader_address"].isString() ? body["leader_address"].asString() : "";
            progress.problem = "no controller leads group " + std::to_string(body["group"].asUInt());
            return std::nullopt;
        }
        if (body["outcome"] == "unknown") {
            progress.mayBeDone = true;
            progress.problem = body["message"].asString();
            return std::nullopt;
        }
        return call_answer { call_outcome::Refused, std::move(body) };
    }

} // namespace

call_environment makeEnvironment(std::chrono::milliseconds timeout)
{
    call_environment environment;
    environment.call = [timeout](const std::string& address, const std::string& method, const std::string& parameters) {
        return net::callRpc(address, method, parameters, timeout);
    };
    environment.sleep = [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); };
    return environment;
}

call_answer callLeader(const call_environment& environment, const std::vector<std::string>& addresses,
    const std::string& method, const Json::Value& parameters, int rounds)
{
    const auto text = writeJson(parameters);
    call_progress progress;
    for (int round = 0; round < rounds; ++round) {
        if (round > 0) {
            environment.sleep(pauseBetweenRounds);
        }
        for (const auto& address : addresses) {
            if (auto done = take(environment.call(address, method, text), address, progress)) {
                return *done;
            }
            // The hint is followed at once; a wrong one costs one call more.
            const auto leader = std::exchange(progress.leader, "");
            if (leader.empty() || leader == address) {
                continue;
            }
            if (auto done = take(environment.call(leader, method, text), leader, progress)) {
                return *done;
            }
        }
    }
    if (progress.mayBeDone) {
        return { call_outcome::Unknown, errorBody("unknown", "the outcome is unknown: " + progress.problem) };
    }
    return { call_outcome::Refused, errorBody("unavailable", "not done: " + progress.problem) };
}

} // namespace cuminledge::ctl
