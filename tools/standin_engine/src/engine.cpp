#include <standin_engine/engine.hpp>

#include <cstdlib>
#include <random>
#include <unordered_map>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <base/json.hpp>
#include <base/log.hpp>
#include <net/http_server.hpp>

#include "attempt_statistics.hpp"
#include "chat_answer.hpp"
#include "engine_reports.hpp"
#include "order_book.hpp"

namespace cuminledge::standin {

namespace {

    using net::http_request;
    using net::makeProblem;

    constexpr std::size_t maxRequestBytes = 16U << 20U;
    constexpr int crashExitCode = 134;

    std::uint64_t numberIn(const std::string& text)
    {
        return std::strtoull(text.c_str(), nullptr, 10);
    }

    /// @return what follows the prefix, or none if the target does not begin with it.
    std::optional<std::string> after(const std::string& target, const std::string& prefix)
    {
        if (target.compare(0, prefix.size(), prefix) != 0) {
            return std::nullopt;
        }
        return target.substr(prefix.size());
    }

    std::uint32_t statusOf(const error& e)
    {
        return e.code == error_code::Conflict ? 409 : 400;
    }

} // namespace

class engine::impl : public std::enable_shared_from_this<engine::impl> {
public:
    impl(boost::asio::io_context& context, const clock_source& clock, engine_settings settings, std::uint64_t incarnation)
        : m_context(context)
        , m_clock(clock)
        , m_settings(std::move(settings))
        , m_incarnation(incarnation)
        , m_stepTimer(context)
        , m_random(m_settings.seed)
        , m_server(context, serverSettings(m_settings),
              { [this](http_request&& request) { onRequest(request); },
                  [this](std::uint64_t exchange, const std::string&) { onGone(exchange); } })
    {
        m_model.settings = m_settings.model;
        m_orders.checkFencing = m_settings.checkFencing;
        m_orders.models.insert(m_settings.models.begin(), m_settings.models.end());
    }

    result<std::uint16_t> listen() { return m_server.listen(); }

    void closeListener() { m_server.closeListener(); }

    [[nodiscard]] bool busy() const { return m_server.counts().exchanges != 0; }

    void stop() { m_stepTimer.cancel(); }

private:
    static net::http_server_settings serverSettings(const engine_settings& settings)
    {
        net::http_server_settings server;
        server.address = settings.listenAddress;
        server.maxBodyBytes = maxRequestBytes;
        return server;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Routes
    //--------------------------------------------------------------------------------------------------------------

    void onRequest(const http_request& request)
    {
        const auto& target = request.target;
        const auto cached = after(target, "/cache/");
        const auto events = after(target, "/cache/events");
        const auto kv = after(target, "/kv/");
        if (request.method == "POST" && target == "/v1/chat/completions") {
            onChat(request);
        } else if (request.method == "GET" && events) {
            onEvents(request, numberIn(after(*events, "?after=").value_or("0")));
        } else if (request.method == "GET") {
            onGet(request, kv);
        } else if (request.method == "DELETE" && cached) {
            onRelease(request, *cached);
        } else if (request.method == "PUT" && kv) {
            onImport(request, *kv);
        } else if (request.method == "POST" && target == "/orders") {
            onOrder(request);
        } else if (request.method == "POST" && target == "/faults") {
            onFaults(request);
        } else {
            refuse(request.exchange, 404, "not_found", "no such resource");
        }
    }

    void onGet(const http_request& request, const std::optional<std::string>& kv)
    {
        const auto& target = request.target;
        if (target == "/health") {
            replyJson(request.exchange, health());
        } else if (target == "/stats") {
            replyJson(request.exchange, statistics());
        } else if (target == "/attempts") {
            replyJson(request.exchange, m_attempts.list());
        } else if (target == "/load") {
            replyJson(request.exchange, load());
        } else if (target == "/cache") {
            replyJson(request.exchange, listCache(m_model));
        } else if (target == "/orders") {
            replyJson(request.exchange, m_orders.toJson());
        } else if (kv) {
            onExport(request, *kv);
        } else {
            refuse(request.exchange, 404, "not_found", "no such resource");
        }
    }

    void replyJson(std::uint64_t exchange, const Json::Value& body)
    {
        m_server.reply(exchange, { 200, "application/json", {}, writeJson(body) });
    }

    void refuse(std::uint64_t exchange, std::uint32_t status, const std::string& code, const std::string& detail)
    {
        m_server.reply(exchange, makeProblem(status, code, detail));
    }

    //--------------------------------------------------------------------------------------------------------------
    // Chat
    //--------------------------------------------------------------------------------------------------------------

    void onChat(const http_request& request)
    {
        auto parsed = readChatRequest(request.body);
        if (!parsed) {
            refuse(request.exchange, 400, "invalid_argument", parsed.error().message);
            return;
        }
        if (!m_orders.serves(parsed->model)) {
            refuse(request.exchange, 404, "not_found", "model " + parsed->model + " is not loaded");
            return;
        }
        const bool fails = std::uniform_int_distribution<std::uint32_t>(1, 100)(m_random) <= m_settings.errorPercent;
        if (fails || parsed->wanted == fault::ServerError) {
            refuse(request.exchange, 500, "internal", "told to fail");
            return;
        }
        chat c;
        c.id = request.exchange;
        c.attempt = net::findHeader(request.headers, "cuminledge-attempt");
        c.request = std::move(*parsed);
        start(std::move(c));
    }

    void start(chat c)
    {
        const auto hash = c.request.prompt.back().hash;
        const auto& resumeText = c.request.resumeText;
        c.resumed = countTokens(resumeText);
        const auto resumed = answerText(hash, 0, c.resumed);
        if (resumed.compare(0, resumeText.size(), resumeText) != 0) {
            refuse(c.id, 422, "invalid_argument", "resume_text is not the start of this prompt's answer");
            return;
        }
        c.pending = resumed.substr(resumeText.size());
        const auto left = std::max<std::int64_t>(m_settings.answerTokens - c.resumed, 1);
        c.cut = c.request.maxTokens < left;
        sequence s;
        s.id = c.id;
        s.program = c.request.program;
        s.prompt = c.request.prompt;
        s.targetTokens = std::min(left, c.request.maxTokens);
        s.hangs = c.request.wanted == fault::Hang;
        if (!submit(m_model, std::move(s))) {
            refuse(c.id, 503, "overloaded", "the queue is full or the prompt is larger than the memory");
            return;
        }
        m_attempts.add(c.attempt, &attempt_statistics::counts::received);
        m_chats.emplace(c.id, std::move(c));
        run();
    }

    void run()
    {
        std::vector<step_output> outputs;
        do {
            outputs.clear();
            advance(m_model, m_clock.now(), outputs);
            for (const auto& output : outputs) {
                onOutput(output);
            }
        } while (!outputs.empty());
        if (!m_model.stepEnd || std::exchange(m_timerArmed, true)) {
            return;
        }
        m_stepTimer.expires_at(*m_model.stepEnd);
        m_stepTimer.async_wait([self = shared_from_this()](auto cancelled) {
            self->m_timerArmed = false;
            if (!cancelled) {
                self->run();
            }
        });
    }

    void onOutput(const step_output& output)
    {
        const auto found = m_chats.find(output.id);
        if (found == m_chats.end()) {
            return;
        }
        auto& c = found->second;
        if (output.started) {
            onStarted(c);
            return;
        }
        if (c.request.wanted == fault::Crash) {
            logEvent(log_level::Error, "told_to_crash", { { "attempt", c.attempt } });
            std::_Exit(crashExitCode);
        }
        addToken(c, output.generated);
        if (output.finished) {
            finishChat(c);
        }
    }

    void onStarted(const chat& c)
    {
        m_attempts.add(c.attempt, &attempt_statistics::counts::started);
        if (c.request.stream) {
            m_server.beginStream(c.id, {});
        }
    }

    void addToken(chat& c, std::int64_t generated)
    {
        const auto position = c.resumed + generated - 1;
        const auto text = std::exchange(c.pending, {}) + answerToken(c.request.prompt.back().hash, position);
        c.answer += text;
        c.generated = generated;
        if (c.request.stream && !c.silent) {
            m_server.streamEvent(c.id, writeJson(streamChunk(c, text, Json::nullValue, Json::nullValue)));
        }
        c.silent = c.silent || c.request.wanted == fault::SilentConnection;
    }

    void finishChat(const chat& c)
    {
        const auto& s = m_model.sequences.at(c.id);
        const auto usage = usageOf(c, s);
        const auto answer = afterMessage(c.request.prompt.back(), "assistant", c.request.resumeText + c.answer);
        finish(m_model, c.id, answer, m_clock.now());
        m_attempts.add(c.attempt, &attempt_statistics::counts::finished);
        if (!c.silent) {
            answerFinished(c, usage);
        }
        const auto id = c.id;
        m_chats.erase(id);
    }

    void answerFinished(const chat& c, const Json::Value& usage)
    {
        const std::string reason = c.cut ? "length" : "stop";
        if (c.request.stream) {
            m_server.streamEvent(c.id, writeJson(streamChunk(c, {}, reason, usage)));
            m_server.streamEvent(c.id, "[DONE]");
            m_server.endStream(c.id);
            return;
        }
        replyJson(c.id, wholeAnswer(c, reason, usage));
    }

    void onGone(std::uint64_t exchange)
    {
        const auto found = m_chats.find(exchange);
        if (found == m_chats.end()) {
            return;
        }
        m_attempts.add(found->second.attempt, &attempt_statistics::counts::cancelled);
        m_chats.erase(found);
        cancel(m_model, exchange, m_clock.now());
        run();
    }

    //--------------------------------------------------------------------------------------------------------------
    // State
    //--------------------------------------------------------------------------------------------------------------

    [[nodiscard]] Json::Value health() const
    {
        Json::Value body(Json::objectValue);
        body["status"] = "ok";
        body["incarnation"] = Json::UInt64(m_incarnation);
        return body;
    }

    [[nodiscard]] Json::Value statistics() const
    {
        Json::Value body(Json::objectValue);
        body["incarnation"] = Json::UInt64(m_incarnation);
        body["attempts"] = m_attempts.totals();
        body["running"] = Json::UInt64(m_model.running.size());
        body["waiting"] = Json::UInt64(m_model.waiting.size());
        body["running_tokens"] = Json::Int64(m_model.runningTokens);
        body["cached_tokens"] = Json::Int64(m_model.cachedTokens);
        body["cache"] = cachedPrograms(m_model);
        return body;
    }

    void onEvents(const http_request& request, std::uint64_t afterNumber)
    {
        auto body = listEvents(m_model, afterNumber, m_clock.now());
        body["incarnation"] = Json::UInt64(m_incarnation);
        replyJson(request.exchange, body);
    }

    Json::Value load()
    {
        if (m_load.isNull() || m_clock.now() - m_loadAt >= m_settings.loadLag) {
            m_loadAt = m_clock.now();
            m_load = reportLoad(m_model);
        }
        return m_load;
    }

    //--------------------------------------------------------------------------------------------------------------
    // Orders
    //--------------------------------------------------------------------------------------------------------------

    template <typename Function>
    void later(duration delay, Function function)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        timer->async_wait([self = shared_from_this(), timer, function](auto cancelled) {
            if (!cancelled) {
                function(*self);
            }
        });
    }

    duration transferTime(std::int64_t tokens) const
    {
        const std::chrono::duration<double> time(static_cast<double>(tokens) / m_settings.kvTokensPerSecond);
        return std::chrono::duration_cast<duration>(time);
    }

    /// @return whether the order may be carried out; it is refused if not.
    bool admitOrder(const http_request& request, std::uint64_t fencingNumber)
    {
        const auto admitted = m_orders.admit(fencingNumber);
        if (!admitted) {
            refuse(request.exchange, statusOf(admitted.error()), "stale_fencing_number", admitted.error().message);
        }
        return admitted.has_value();
    }

    void onRelease(const http_request& request, const std::string& program)
    {
        const auto& fencing = net::findHeader(request.headers, "cuminledge-fencing");
        if (!fencing.empty() && !admitOrder(request, numberIn(fencing))) {
            return;
        }
        Json::Value body(Json::objectValue);
        body["released_tokens"] = Json::Int64(releaseProgram(m_model, program, m_clock.now()));
        replyJson(request.exchange, body);
        run();
    }

    void onOrder(const http_request& request)
    {
        const auto document = parseJson(request.body, "order");
        if (!document) {
            refuse(request.exchange, 400, "invalid_argument", document.error().message);
            return;
        }
        std::vector<json_fault> faults;
        json_object_reader reader(*document, "$", faults);
        const auto fencing = reader.integer("fencing_number", 0, std::int64_t { 1 } << 62U);
        const auto order = reader.string("order", 1, 64);
        const auto name = reader.string("name", 1, 256);
        reader.finish();
        if (!faults.empty()) {
            refuse(request.exchange, 400, "invalid_argument", describe(faults));
            return;
        }
        if (!admitOrder(request, static_cast<std::uint64_t>(fencing))) {
            return;
        }
        later(m_settings.orderTime, [exchange = request.exchange, order, name](impl& self) {
            const auto applied = self.m_orders.apply(order, name);
            if (applied) {
                self.replyJson(exchange, self.m_orders.toJson());
            } else {
                self.refuse(exchange, statusOf(applied.error()), "invalid_argument", applied.error().message);
            }
        });
    }

    void onExport(const http_request& request, const std::string& program)
    {
        const auto entry = m_model.cache.find(program);
        if (entry == m_model.cache.end()) {
            refuse(request.exchange, 404, "not_found", "nothing is cached for this program");
            return;
        }
        Json::Value body(Json::objectValue);
        body["program"] = program;
        body["tokens"] = Json::Int64(tokensOf(entry->second.boundaries));
        body["prefixes"] = boundariesToJson(entry->second.boundaries);
        later(transferTime(tokensOf(entry->second.boundaries)),
            [exchange = request.exchange, body](impl& self) { self.replyJson(exchange, body); });
    }

    void onImport(const http_request& request, const std::string& program)
    {
        const auto document = parseJson(request.body, "import");
        const auto boundaries = boundariesFromJson(document && document->isObject() ? (*document)["prefixes"] : Json::Value());
        if (!boundaries) {
            refuse(request.exchange, 400, "invalid_argument", boundaries.error().message);
            return;
        }
        later(transferTime(tokensOf(*boundaries)), [exchange = request.exchange, program, held = *boundaries](impl& self) {
            if (!importProgram(self.m_model, program, held, self.m_clock.now())) {
                self.refuse(exchange, 507, "too_large", "no memory for this sequence");
                return;
            }
            self.replyJson(exchange, listCache(self.m_model));
        });
    }

    /// Changes what the engine is told to do wrong, while it runs.
    void onFaults(const http_request& request)
    {
        const auto document = parseJson(request.body, "faults");
        if (!document) {
            refuse(request.exchange, 400, "invalid_argument", document.error().message);
            return;
        }
        std::vector<json_fault> faults;
        json_object_reader reader(*document, "$", faults);
        const auto percent = reader.integer("error_percent", 0, 100, m_settings.errorPercent);
        const auto slow = reader.number("slow_factor", 0.01, 1000, m_model.settings.slowFactor);
        reader.finish();
        if (!faults.empty()) {
            refuse(request.exchange, 400, "invalid_argument", describe(faults));
            return;
        }
        m_settings.errorPercent = static_cast<std::uint32_t>(percent);
        m_model.settings.slowFactor = slow;
        replyJson(request.exchange, Json::objectValue);
    }

    boost::asio::io_context& m_context;
    const clock_source& m_clock;
    engine_settings m_settings;
    std::uint64_t m_incarnation;
    engine_model m_model;
    order_book m_orders;
    attempt_statistics m_attempts;
    std::unordered_map<std::uint64_t, chat> m_chats;
    boost::asio::steady_timer m_stepTimer;
    bool m_timerArmed = false;
    std::mt19937_64 m_random;
    Json::Value m_load;
    time_point m_loadAt;
    net::http_server m_server;
};

//------------------------------------------------------------------------------------------------------------------
// engine
//------------------------------------------------------------------------------------------------------------------

engine::engine(
    boost::asio::io_context& context, const clock_source& clock, engine_settings settings, std::uint64_t incarnation)
    : m_impl(std::make_shared<impl>(context, clock, std::move(settings), incarnation))
{
}

engine::~engine()
{
    m_impl->stop();
}

result<std::uint16_t> engine::listen()
{
    return m_impl->listen();
}

void engine::closeListener()
{
    m_impl->closeListener();
}

bool engine::busy() const
{
    return m_impl->busy();
}

} // namespace cuminledge::standin
