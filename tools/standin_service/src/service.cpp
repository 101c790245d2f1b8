#include <standin_service/service.hpp>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <base/digest.hpp>
#include <base/json.hpp>
#include <base/log.hpp>
#include <net/http_server.hpp>

namespace cuminledge::standin {

namespace {

    using net::http_request;

    constexpr int crashExitCode = 134;
    constexpr std::size_t maxCalls = 1'000'000; ///< counted; further ones are refused
    constexpr std::chrono::milliseconds maxDelay { 600'000 };

    bool isMarked(const http_request& request, const char* mark)
    {
        return request.body.find(mark) != std::string::npos;
    }

    std::chrono::milliseconds delayIn(const http_request& request, std::chrono::milliseconds fallback)
    {
        const std::string mark = "DELAY=";
        const auto at = request.body.find(mark);
        if (at == std::string::npos) {
            return fallback;
        }
        const auto wanted = std::strtoll(request.body.c_str() + at + mark.size(), nullptr, 10);
        return std::clamp(std::chrono::milliseconds(wanted), std::chrono::milliseconds(0), maxDelay);
    }

    /// @return the answer to an execution, the same each time.
    std::string makeAnswer(const std::string& operation, const std::string& key, const std::string& body)
    {
        constexpr std::size_t receiptDigits = 16;
        Json::Value answer(Json::objectValue);
        answer["operation"] = operation;
        answer["call"] = key;
        answer["receipt"] = sha256Hex(operation + '\n' + key + '\n' + body).substr(0, receiptDigits);
        return writeJson(answer);
    }

} // namespace

class service::impl : public std::enable_shared_from_this<service::impl> {
public:
    impl(boost::asio::io_context& context, service_settings settings, std::uint64_t incarnation)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_incarnation(incarnation)
        , m_server(context, serverSettings(m_settings),
              { [this](http_request&& request) { onRequest(std::move(request)); },
                  [](std::uint64_t, const std::string&) {} })
    {
    }

    result<std::uint16_t> listen()
    {
        readExecutions();
        return m_server.listen();
    }

    void closeListener() { m_server.closeListener(); }

    [[nodiscard]] bool busy() const { return m_server.counts().exchanges > m_hung; }

    void stop()
    {
        m_stopped = true;
        for (const auto& timer : m_timers) {
            timer->cancel();
        }
    }

private:
    static net::http_server_settings serverSettings(const service_settings& settings)
    {
        net::http_server_settings server;
        server.address = settings.listenAddress;
        return server;
    }

    void onRequest(http_request&& request)
    {
        if (request.method == "GET" && request.target == "/health") {
            replyJson(request.exchange, health());
        } else if (request.method == "GET" && request.target == "/executions") {
            replyJson(request.exchange, countsByCall());
        } else if (request.method == "GET" && request.target == "/executions?by=account") {
            replyJson(request.exchange, countsByAccount());
        } else if (request.method == "POST" && request.target.size() > 1) {
            onCall(std::move(request));
        } else {
            m_server.reply(request.exchange, net::makeProblem(404, "not_found", "no such resource"));
        }
    }

    void replyJson(std::uint64_t exchange, const Json::Value& body)
    {
        m_server.reply(exchange, { 200, "application/json", {}, writeJson(body) });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Calls
    //--------------------------------------------------------------------------------------------------------------

    void onCall(http_request&& request)
    {
        const auto& key = net::findHeader(request.headers, "idempotency-key");
        if (key.empty()) {
            const auto detail = "expected a header Idempotency-Key";
            m_server.reply(request.exchange, net::makeProblem(400, "invalid_argument", detail));
            return;
        }
        if (isMarked(request, "FAIL-SERVICE") || m_callCount >= maxCalls) {
            m_server.reply(request.exchange, net::makeProblem(500, "internal", "told to fail, or over the limit"));
            return;
        }
        if (isMarked(request, "DIE-FIRST")) {
            std::_Exit(crashExitCode);
        }
        const auto delay = delayIn(request, m_settings.delay);
        if (delay.count() == 0) {
            execute(request);
            return;
        }
        later(delay, [request = std::move(request)](impl& self) { self.execute(request); });
    }

    void execute(const http_request& request)
    {
        const auto& key = net::findHeader(request.headers, "idempotency-key");
        const auto& account = net::findHeader(request.headers, "cuminledge-account");
        count(account, key, 1);
        writeExecution(account, key);
        logEvent(log_level::Info, "executed", { { "operation", request.target }, { "account", account }, { "call", key } });
        if (isMarked(request, "EXECUTE-AND-DIE")) {
            std::_Exit(crashExitCode);
        }
        if (isMarked(request, "LOST-ANSWER")) {
            m_server.abort(request.exchange);
            return;
        }
        if (isMarked(request, "HANG-SERVICE")) {
            ++m_hung;
            return;
        }
        const auto answer = makeAnswer(request.target.substr(1), key, request.body);
        const auto delay = isMarked(request, "LATE-ANSWER") ? m_settings.lateAnswer : std::chrono::milliseconds(0);
        later(delay, [exchange = request.exchange, answer](impl& self) {
            self.m_server.reply(exchange, { 200, "application/json", {}, answer });
        });
    }

    template <typename Function>
    void later(std::chrono::milliseconds delay, Function function)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        m_timers.insert(timer);
        timer->async_wait([self = shared_from_this(), timer, function = std::move(function)](auto cancelled) {
            if (!cancelled && !self->m_stopped) {
                self->m_timers.erase(timer);
                function(*self);
            }
        });
    }

    //--------------------------------------------------------------------------------------------------------------
    // Counts
    //--------------------------------------------------------------------------------------------------------------

    void count(const std::string& account, const std::string& key, std::uint64_t times)
    {
        auto& counted = m_executions[account][key];
        m_callCount += counted == 0 ? 1 : 0;
        counted += times;
    }

    [[nodiscard]] Json::Value health() const
    {
        Json::Value body(Json::objectValue);
        body["status"] = "ok";
        body["incarnation"] = Json::UInt64(m_incarnation);
        return body;
    }

    [[nodiscard]] Json::Value countsByCall() const
    {
        Json::Value body(Json::objectValue);
        for (const auto& [account, calls] : m_executions) {
            for (const auto& [key, times] : calls) {
                body[key] = Json::UInt64(body.get(key, 0).asUInt64() + times);
            }
        }
        return body;
    }

    [[nodiscard]] Json::Value countsByAccount() const
    {
        Json::Value body(Json::objectValue);
        for (const auto& [account, calls] : m_executions) {
            for (const auto& [key, times] : calls) {
                body[account][key] = Json::UInt64(times);
            }
        }
        return body;
    }

    /// One line for each execution: the judge must not forget what it did before it died.
    void writeExecution(const std::string& account, const std::string& key)
    {
        if (m_settings.executionsFile.empty()) {
            return;
        }
        Json::Value line(Json::arrayValue);
        line.append(account);
        line.append(key);
        std::ofstream file(m_settings.executionsFile, std::ios::app);
        file << writeJson(line) << '\n'
             << std::flush;
    }

    void readExecutions()
    {
        std::ifstream file(m_settings.executionsFile);
        std::string line;
        while (std::getline(file, line)) {
            const auto entry = parseJson(line, "read_executions");
            if (entry && entry->isArray() && entry->size() == 2) {
                count((*entry)[0].asString(), (*entry)[1].asString(), 1);
            }
        }
    }

    boost::asio::io_context& m_context;
    service_settings m_settings;
    std::uint64_t m_incarnation;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_executions; ///< by account and call id
    std::size_t m_callCount = 0;
    std::size_t m_hung = 0;
    bool m_stopped = false;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    net::http_server m_server;
};

//------------------------------------------------------------------------------------------------------------------
// service
//------------------------------------------------------------------------------------------------------------------

service::service(boost::asio::io_context& context, service_settings settings, std::uint64_t incarnation)
    : m_impl(std::make_shared<impl>(context, std::move(settings), incarnation))
{
}

service::~service()
{
    m_impl->stop();
}

result<std::uint16_t> service::listen()
{
    return m_impl->listen();
}

void service::closeListener()
{
    m_impl->closeListener();
}

bool service::busy() const
{
    return m_impl->busy();
}

} // namespace cuminledge::standin
