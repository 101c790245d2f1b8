#include <standin_engine/chat_request.hpp>
#include <standin_engine/engine_model.hpp>

#include <map>
#include <random>

#include <catch2/catch.hpp>

using namespace cuminledge;
using namespace cuminledge::standin;

namespace {

struct model_fixture {
    engine_model model;
    manual_clock clock;
    std::map<std::uint64_t, std::int64_t> generated;
    std::vector<std::uint64_t> finished;

    void add(std::uint64_t id, const std::string& program, const std::vector<std::int64_t>& messages, std::int64_t target)
    {
        sequence s;
        s.id = id;
        s.program = program;
        s.targetTokens = target;
        boundary last;
        for (const auto tokens : messages) {
            last = { last.tokens + tokens, last.hash * 31 + static_cast<std::uint64_t>(tokens) };
            s.prompt.push_back(last);
        }
        REQUIRE(submit(model, s));
    }

    void step()
    {
        std::vector<step_output> outputs;
        advance(model, clock.now(), outputs);
        for (const auto& output : outputs) {
            generated[output.id] = output.generated;
            if (output.finished) {
                const auto& end = model.sequences.at(output.id).prompt.back();
                finish(model, output.id, { end.tokens + output.generated, end.hash + 1 }, clock.now());
                finished.push_back(output.id);
            }
        }
    }

    /// Runs until nothing is under way. @return the time it took.
    duration run()
    {
        const auto start = clock.now();
        do {
            step();
            if (model.stepEnd) {
                clock.advance(*model.stepEnd - clock.now());
            }
        } while (model.stepEnd || !model.waiting.empty());
        return clock.now() - start;
    }
};

} // namespace

TEST_CASE("a second turn finds its first in the cache and is quicker by the prefill")
{
    model_fixture fixture;
    fixture.add(1, "p", { 20'000 }, 10);
    const auto cold = fixture.run();
    CHECK(fixture.model.cache.at("p").boundaries.back().tokens == 20'010);
    fixture.add(2, "p", { 20'000 }, 10);
    const auto warm = fixture.run();
    CHECK(cold - warm > std::chrono::milliseconds(45)); // 20,000 tokens at 400,000 a second
    fixture.add(3, "other", { 20'000 }, 10);
    CHECK(fixture.run() > warm);
}

TEST_CASE("a larger batch serves more in the same time, but each sequence slower")
{
    model_fixture one;
    one.add(1, "", { 10 }, 100);
    const auto alone = one.run();
    model_fixture many;
    for (std::uint64_t id = 1; id <= 16; ++id) {
        many.add(id, "", { 10 }, 100);
    }
    const auto together = many.run();
    CHECK(together > alone);
    CHECK(together < 4 * alone);
    model_fixture queued;
    for (std::uint64_t id = 1; id <= 32; ++id) {
        queued.add(id, "", { 10 }, 100);
    }
    CHECK(queued.run() > 2 * together - alone);
}

TEST_CASE("least recently used programs are evicted, released ones are not kept, and events tell of it")
{
    model_fixture fixture;
    fixture.model.settings.cacheTokens = 300;
    fixture.model.settings.cacheEventLag = std::chrono::milliseconds(5);
    fixture.add(1, "a", { 90 }, 10);
    fixture.run();
    fixture.add(2, "b", { 90 }, 10);
    fixture.run();
    fixture.add(3, "a", { 90 }, 10);
    fixture.run();
    fixture.add(4, "c", { 140 }, 10);
    fixture.run();
    CHECK(fixture.model.cache.count("a") == 1);
    CHECK(fixture.model.cache.count("b") == 0);
    CHECK(releaseProgram(fixture.model, "a", fixture.clock.now()) == 100);
    CHECK(fixture.model.cachedTokens == 150);
    CHECK(visibleEvents(fixture.model, 0, fixture.clock.now()).size() < fixture.model.events.size());
    fixture.clock.advance(std::chrono::milliseconds(5));
    const auto events = visibleEvents(fixture.model, 0, fixture.clock.now());
    CHECK(events.size() == fixture.model.events.size());
    CHECK(events.back().change == cache_change::Released);
    fixture.model.settings.cacheEventDropEvery = 2;
    CHECK(visibleEvents(fixture.model, 0, fixture.clock.now()).size() == (events.size() + 1) / 2);
}

TEST_CASE("memory is accounted for through random submits, cancels and releases")
{
    constexpr unsigned seed = 20264;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    model_fixture fixture;
    fixture.model.settings.cacheTokens = 2000;
    fixture.model.settings.batchLimit = 4;
    for (std::uint64_t id = 1; id <= 3000; ++id) {
        const auto program = std::string(1, static_cast<char>('a' + random() % 8));
        const auto upTo = [&](unsigned limit) { return static_cast<std::int64_t>(1 + random() % limit); };
        fixture.add(id, program, { upTo(100), upTo(300) }, upTo(30));
        fixture.step();
        fixture.clock.advance(std::chrono::microseconds(random() % 3000));
        if (random() % 4 == 0) {
            cancel(fixture.model, 1 + random() % id, fixture.clock.now());
        }
        if (random() % 8 == 0) {
            releaseProgram(fixture.model, program, fixture.clock.now());
        }
        REQUIRE(fixture.model.cachedTokens + fixture.model.runningTokens <= 2000);
        REQUIRE(fixture.model.running.size() <= 4);
        if (fixture.model.sequences.size() > 10) {
            fixture.run();
        }
    }
    fixture.run();
    CHECK(fixture.model.runningTokens == 0);
    CHECK(fixture.model.sequences.empty());
    std::int64_t cached = 0;
    for (const auto& [program, entry] : fixture.model.cache) {
        cached += tokensOf(entry.boundaries);
    }
    CHECK(fixture.model.cachedTokens == cached);
}

TEST_CASE("the text of an answer follows from the messages alone")
{
    const auto read = [](const std::string& content) {
        return readChatRequest(R"({"model":"m","messages":[{"role":"user","content":")" + content + R"("}]})");
    };
    const auto first = read("hello");
    const auto again = read("hello");
    const auto other = read("hello!");
    REQUIRE(first);
    CHECK(first->prompt.back().hash == again->prompt.back().hash);
    CHECK(answerToken(first->prompt.back().hash, 0) != answerToken(other->prompt.back().hash, 0));
    CHECK(answerToken(first->prompt.back().hash, 0) != answerToken(first->prompt.back().hash, 1));
    CHECK_FALSE(readChatRequest("{}"));
    CHECK_FALSE(readChatRequest(R"({"model":"m","messages":[{"role":"user"}]})"));
    CHECK_FALSE(readChatRequest("nonsense"));
}
