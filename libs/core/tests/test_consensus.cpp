#include <catch2/catch.hpp>

#include <core/consensus/consensus.hpp>

#include <map>
#include <random>

using namespace cuminledge;
using namespace cuminledge::core;
using namespace cuminledge::core::consensus;
using namespace std::chrono_literals;

namespace {

/// Replicas for which every message is delivered and every write is synced immediately.
struct synchronous_group {
    time_point now { std::chrono::hours(1) };
    std::mt19937_64 random { 1 };
    std::map<std::string, replica> replicas;
    std::map<std::string, std::vector<std::string>> applied;

    explicit synchronous_group(const std::vector<std::string>& names)
    {
        for (std::size_t i = 0; i < names.size(); ++i) {
            replica_loaded loaded;
            loaded.isNew = true;
            loaded.diskIncarnation = 100 + i;
            replicas[names[i]] = makeReplica({}, 0, names[i], names, loaded, now);
        }
    }

    void processOutput(const std::string& name, const replica_output& out)
    {
        for (const auto& entry : out.committed) {
            if (entry.kind == wire::log_entry_kind::Command) {
                applied[name].push_back(entry.payload);
            }
        }
        for (const auto& write : out.writes) {
            replica_output next;
            onPersisted(replicas.at(name), { write.group, write.ticket }, now, next);
            processOutput(name, next);
        }
        for (const auto& envelope : out.messages) {
            replica_output next;
            const std::string to = controllerOf(envelope.to);
            onMessage(replicas.at(to), envelope, now, next);
            processOutput(to, next);
        }
    }

    void run(std::chrono::milliseconds span)
    {
        for (auto passed = 0ms; passed < span; passed += 10ms) {
            now += 10ms;
            for (auto& [name, r] : replicas) {
                replica_output out;
                onTick(r, now, random, out);
                processOutput(name, out);
            }
        }
    }

    std::string leader()
    {
        for (auto& [name, r] : replicas) {
            if (mayRead(r, now)) {
                return name;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("a group of blank replicas forms, elects a leader and commits", "[consensus]")
{
    const std::size_t size = GENERATE(1, 2, 3, 5);
    const std::vector<std::string> all { "c1", "c2", "c3", "c4", "c5" };
    synchronous_group group(std::vector<std::string>(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(size)));
    group.run(3s);
    const std::string leader = group.leader();
    REQUIRE_FALSE(leader.empty());
    replica_output out;
    const auto index = propose(group.replicas.at(leader), "x", group.now, out);
    REQUIRE(index);
    group.processOutput(leader, out);
    group.run(1s);
    for (auto& [name, r] : group.replicas) {
        CHECK(group.applied[name] == std::vector<std::string> { "x" });
        CHECK(leaderName(r) == leader);
    }
    CHECK(statusOf(group.replicas.at(leader), group.now).survivesLoss == (size >= 3));
}

TEST_CASE("the settings are checked, and the lease is shorter than the election timeout", "[consensus]")
{
    const auto read = [](const std::string& text, std::vector<json_fault>& faults) {
        const Json::Value document = parseJson(text, "test").value();
        json_object_reader reader(document, "$.consensus", faults);
        return readSettings(reader);
    };
    std::vector<json_fault> faults;
    const auto settings = read(R"({"heartbeat_ms": 100, "election_timeout_min_ms": 1000,
        "election_timeout_max_ms": 2000, "max_clock_drift": 0.01})",
        faults);
    CHECK(faults.empty());
    CHECK(leaseDuration(settings) < 981ms);
    CHECK(leaseDuration(settings) > 979ms);
    read(R"({"heartbeat_ms": 200, "election_timeout_min_ms": 500, "election_timeout_max_ms": 400, "typo": 1})", faults);
    std::vector<std::string> paths;
    paths.reserve(faults.size());
    for (const auto& fault : faults) {
        paths.push_back(fault.path);
    }
    CHECK(paths
        == std::vector<std::string> { "$.consensus.election_timeout_min_ms", "$.consensus.election_timeout_max_ms",
            "$.consensus.typo" });
}
