#include <ctl/commands.hpp>

#include <sstream>

#include <catch2/catch.hpp>

#include <base/digest.hpp>
#include <base/json.hpp>

using namespace cuminledge;
using namespace cuminledge::ctl;

namespace {

struct run_result {
    int status = 0;
    std::string out;
    std::string errors;
    Json::Value sent;
};

run_result run(std::vector<std::string> words, const net::rpc_answer& answer, output_format format = output_format::Table)
{
    run_result ran;
    call_environment environment;
    environment.call = [&](const std::string&, const std::string&, const std::string& parameters) {
        ran.sent = *parseJson(parameters, "test");
        return answer;
    };
    environment.sleep = [](std::chrono::milliseconds) {};
    options opts;
    opts.controllers = { "c1" };
    opts.output = format;
    opts.command = std::move(words);
    std::ostringstream out;
    std::ostringstream errors;
    ran.status = runCommand(opts, environment, out, errors);
    ran.out = out.str();
    ran.errors = errors.str();
    return ran;
}

const net::rpc_answer ok { net::rpc_status::Ok, R"({"revision":1})", 0, "" };

} // namespace

TEST_CASE("the exit status tells done, refused, usage and unknown apart")
{
    CHECK(run({ "key", "withdraw", "k1" }, ok).status == exitDone);
    const net::rpc_answer refused { net::rpc_status::Refused, R"({"code":"not_found","message":"no such key"})", -1, "" };
    CHECK(run({ "key", "withdraw", "k1" }, refused).status == exitRefused);
    CHECK(run({ "key", "withdraw" }, ok).status == exitUsage);
    CHECK(run({ "nonsense" }, ok).status == exitUsage);
    CHECK(run({}, ok).status == exitUsage);
    const net::rpc_answer lost { net::rpc_status::Unknown, "null", 0, "closed" };
    CHECK(run({ "key", "withdraw", "k1" }, lost).status == exitUnknown);
}

TEST_CASE("an issued key is shown once, and only its salted hash is sent")
{
    const auto ran = run({ "key", "issue", "a" }, ok, output_format::Json);
    REQUIRE(ran.status == exitDone);
    const auto shown = *parseJson(ran.out, "test");
    const auto key = shown["key"].asString();
    const auto secret = key.substr(key.rfind('.') + 1);
    CHECK(key == shown["key_id"].asString() + "." + secret);
    CHECK(writeJson(ran.sent).find(secret) == std::string::npos);
    CHECK(ran.sent["hash"] == sha256Hex(ran.sent["salt"].asString() + secret));
}

TEST_CASE("status is done only when every group has a leader")
{
    const net::rpc_answer led { net::rpc_status::Ok,
        R"({"controller":"c1","groups":[{"group":0,"term":3,"may_read":true,"commit_index":9,"survives_loss":true,
            "replicas":[{"replica":"c1#1","learner":false},{"replica":"c2#2","learner":true}]}]})",
        0, "" };
    const auto ran = run({ "status" }, led, output_format::Json);
    CHECK(ran.status == exitDone);
    const auto shown = *parseJson(ran.out, "test");
    CHECK(shown["groups"][0]["learners"] == "c2#2");
    CHECK(shown["survives_loss"] == true);
    const net::rpc_answer unled { net::rpc_status::Ok,
        R"({"controller":"c1","groups":[{"group":0,"term":3,"may_read":false,"replicas":[]}]})", 0, "" };
    CHECK(run({ "status" }, unled).status == exitRefused);
}
