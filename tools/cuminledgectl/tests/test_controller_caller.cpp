#include <ctl/controller_caller.hpp>

#include <deque>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::ctl;

namespace {

/// Answers calls from a list, and notes whom they went to.
struct scripted_controllers {
    std::deque<net::rpc_answer> answers;
    std::vector<std::string> called;

    call_environment environment()
    {
        call_environment made;
        made.call = [this](const std::string& address, const std::string&, const std::string&) {
            called.push_back(address);
            if (answers.empty()) {
                return net::rpc_answer { net::rpc_status::NotSent, "null", 0, "connection refused" };
            }
            auto answer = answers.front();
            answers.pop_front();
            return answer;
        };
        made.sleep = [](std::chrono::milliseconds) {};
        return made;
    }
};

net::rpc_answer refusal(const std::string& body)
{
    return { net::rpc_status::Refused, body, -32000, "refused" };
}

const net::rpc_answer lostAnswer { net::rpc_status::Unknown, "null", 0, "closed" };
const net::rpc_answer done { net::rpc_status::Ok, R"({"revision":1})", 0, "" };

} // namespace

TEST_CASE("a hint at the leader is followed at once")
{
    scripted_controllers controllers;
    controllers.answers = { refusal(R"({"code":"not_leader","leader_address":"c2","group":0})"), done };
    const auto answer = callLeader(controllers.environment(), { "c1", "c2", "c3" }, "key.withdraw", Json::objectValue);
    CHECK(answer.outcome == call_outcome::Done);
    CHECK(controllers.called == std::vector<std::string> { "c1", "c2" });
}

TEST_CASE("a call whose answer was lost is sent again, and the last answer counts")
{
    scripted_controllers controllers;
    controllers.answers = { lostAnswer, refusal(R"({"code":"conflict","message":"another","detail":"digest"})") };
    const auto answer = callLeader(controllers.environment(), { "c1", "c2" }, "manifest.accept", Json::objectValue);
    CHECK(answer.outcome == call_outcome::Refused);
    CHECK(answer.body["detail"] == "digest");
    CHECK(controllers.called.size() == 2);
}

TEST_CASE("an outcome stays unknown only if a controller may have got the call")
{
    scripted_controllers controllers;
    CHECK(callLeader(controllers.environment(), { "c1" }, "m", Json::objectValue, 2).outcome == call_outcome::Refused);
    controllers.answers = { lostAnswer };
    CHECK(callLeader(controllers.environment(), { "c1" }, "m", Json::objectValue, 2).outcome == call_outcome::Unknown);
    controllers.answers = { refusal(R"({"code":"unavailable","outcome":"unknown","message":"lost"})") };
    CHECK(callLeader(controllers.environment(), { "c1" }, "m", Json::objectValue, 2).outcome == call_outcome::Unknown);
}
