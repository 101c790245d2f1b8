#include <utility>

#include "load_generator.hpp"

#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <base/json.hpp>
#include <net/http_client.hpp>

namespace cuminledge::load {

namespace asio = boost::asio;

namespace {

    enum class client_step {
        Opening,
        Calling,
        Ending
    };

    /// One program at a time, turn after turn.
    struct client {
        client_step step = client_step::Opening;
        std::string program;
        std::string target;
        std::uint32_t turn = 0;
        std::uint64_t sequence = 0;
        std::uint32_t status = 0;
        std::string body;
        bool busy = false;
        bool sawToken = false;
        time_point startedProgram;
        time_point startedCall;
        std::unique_ptr<asio::steady_timer> timer;
    };

    std::chrono::microseconds since(time_point start, time_point now)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
    }

} // namespace

class load_generator::impl {
public:
    impl(load_settings settings, const clock_source& clock)
        : m_settings(std::move(settings))
        , m_clock(clock)
        , m_random(m_settings.seed)
        , m_prompt(m_settings.promptBytes, 'x')
        , m_arrivals(m_context)
        , m_end(m_context)
    {
    }

    load_report run();

private:
    [[nodiscard]] bool isDirect() const { return m_settings.key.empty(); }
    [[nodiscard]] bool isOpenLoop() const { return m_settings.callsPerSecond > 0; }
    void makeHttpClient();
    void begin(std::size_t index);
    void openProgram(std::size_t index);
    void call(std::size_t index);
    void endProgram(std::size_t index);
    void send(std::size_t index, const std::string& method, const std::string& target, const std::string& body);
    void afterCall(std::size_t index);
    void next(std::size_t index);
    void onData(const std::string& request, const std::string& data);
    void onFinished(const std::string& request);
    void onFailed(const std::string& request, const std::string& message);
    void scheduleArrival();
    void scheduleEnd();
    client* find(const std::string& request);
    [[nodiscard]] std::string makeCallBody(const client& self) const;

    load_settings m_settings;
    const clock_source& m_clock;
    std::mt19937_64 m_random;
    std::string m_prompt;
    asio::io_context m_context { 1 };
    asio::steady_timer m_arrivals;
    asio::steady_timer m_end;
    std::unique_ptr<net::http_client> m_http;
    std::vector<client> m_clients;
    std::size_t m_nextTarget = 0;
    std::size_t m_busy = 0;
    bool m_over = false;
    load_report m_report;
};

void load_generator::impl::makeHttpClient()
{
    net::http_client_handlers handlers;
    handlers.onResponse = [this](const std::string& request, net::response_head&& head) {
        if (auto* self = find(request)) {
            self->status = head.status;
        }
    };
    handlers.onData = [this](const std::string& request, std::string&& data) { onData(request, data); };
    handlers.onFinished = [this](const std::string& request) { onFinished(request); };
    handlers.onFailed = [this](const std::string& request, net::request_phase, const std::string& message) {
        onFailed(request, message);
    };
    net::http_client_settings settings;
    settings.maxPooledPerAddress = m_settings.clients;
    settings.maxConnectionsPerAddress = 2 * m_settings.clients + 8;
    m_http = std::make_unique<net::http_client>(m_context, settings, std::move(handlers));
}

client* load_generator::impl::find(const std::string& request)
{
    const auto dot = request.find('.');
    const auto index = std::stoul(request.substr(0, dot));
    auto& self = m_clients.at(index);
    return self.busy && request.substr(dot + 1) == std::to_string(self.sequence) ? &self : nullptr;
}

//------------------------------------------------------------------------------------------------------------------
// A client's steps
//------------------------------------------------------------------------------------------------------------------

void load_generator::impl::begin(std::size_t index)
{
    auto& self = m_clients[index];
    self.target = m_settings.targets[m_nextTarget++ % m_settings.targets.size()];
    self.turn = 0;
    self.program.clear();
    self.startedProgram = m_clock.now();
    if (isDirect() || m_settings.turns == 0) {
        call(index);
    } else {
        openProgram(index);
    }
}

void load_generator::impl::openProgram(std::size_t index)
{
    m_clients[index].step = client_step::Opening;
    send(index, "POST", "/v1/programs", R"({"route":")" + m_settings.route + "\"}");
}

std::string load_generator::impl::makeCallBody(const client& self) const
{
    Json::Value body(Json::objectValue);
    body["model"] = m_settings.model;
    body["max_tokens"] = m_settings.maxTokens;
    body["stream"] = m_settings.stream;
    Json::Value message(Json::objectValue);
    message["role"] = "user";
    message["content"] = self.program + " turn " + std::to_string(self.turn) + " " + m_prompt;
    body["messages"].append(message);
    return writeJson(body);
}

void load_generator::impl::call(std::size_t index)
{
    auto& self = m_clients[index];
    self.step = client_step::Calling;
    ++self.turn;
    self.sawToken = false;
    self.startedCall = m_clock.now();
    send(index, "POST", "/v1/chat/completions", makeCallBody(self));
}

void load_generator::impl::endProgram(std::size_t index)
{
    auto& self = m_clients[index];
    self.step = client_step::Ending;
    send(index, "DELETE", "/v1/programs/" + self.program, "");
}

void load_generator::impl::send(
    std::size_t index, const std::string& method, const std::string& target, const std::string& body)
{
    auto& self = m_clients[index];
    if (!self.busy) {
        self.busy = true;
        ++m_busy;
    }
    self.body.clear();
    self.status = 0;
    ++self.sequence;
    net::client_request request;
    request.request = std::to_string(index) + "." + std::to_string(self.sequence);
    request.address = self.target;
    request.method = method;
    request.target = target;
    request.body = body;
    request.eventStream = self.step == client_step::Calling && m_settings.stream;
    if (!body.empty()) {
        request.headers.emplace_back("Content-Type", "application/json");
    }
    if (!isDirect()) {
        request.headers.emplace_back("Authorization", "Bearer " + m_settings.key);
    }
    if (!isDirect() && self.step == client_step::Calling && !self.program.empty()) {
        request.headers.emplace_back("Cuminledge-Program", self.program);
        request.headers.emplace_back("Cuminledge-Turn", std::to_string(self.turn));
    }
    m_http->start(std::move(request));
}

void load_generator::impl::onData(const std::string& request, const std::string& data)
{
    auto* self = find(request);
    if (self == nullptr) {
        return;
    }
    if (self->step == client_step::Calling && !self->sawToken) {
        self->sawToken = true;
        m_report.firstTokenLatencies.push_back(since(self->startedCall, m_clock.now()));
    }
    if (self->step != client_step::Calling || self->status != 200) {
        self->body += data;
    } else {
        self->body = data;
    }
}

void load_generator::impl::onFinished(const std::string& request)
{
    auto* self = find(request);
    if (self == nullptr) {
        return;
    }
    const auto index = static_cast<std::size_t>(self - m_clients.data());
    if (self->status >= 400) {
        const auto problem = parseJson(self->body, "read_problem");
        const auto code = problem && problem->isObject() ? (*problem)["code"].asString() : "";
        onFailed(request, std::to_string(self->status) + " " + code);
        return;
    }
    if (self->step == client_step::Opening) {
        const auto opened = parseJson(self->body, "read_program");
        self->program = opened && opened->isObject() ? (*opened)["id"].asString() : "";
        call(index);
    } else if (self->step == client_step::Calling) {
        if (m_settings.stream && self->body != "[DONE]") {
            onFailed(request, "stream without its end");
            return;
        }
        m_report.callLatencies.push_back(since(self->startedCall, m_clock.now()));
        afterCall(index);
    } else {
        next(index);
    }
}

void load_generator::impl::onFailed(const std::string& request, const std::string& message)
{
    auto* self = find(request);
    if (self == nullptr) {
        return;
    }
    ++m_report.failures[message];
    next(static_cast<std::size_t>(self - m_clients.data()));
}

void load_generator::impl::afterCall(std::size_t index)
{
    auto& self = m_clients[index];
    const auto turns = std::max(1U, m_settings.turns);
    if (self.turn >= turns) {
        m_report.programLatencies.push_back(since(self.startedProgram, m_clock.now()));
        ++m_report.programs;
        if (self.program.empty() || m_settings.keepPrograms) {
            next(index);
        } else {
            endProgram(index);
        }
        return;
    }
    if (m_settings.pause.count() == 0) {
        call(index);
        return;
    }
    self.timer->expires_after(m_settings.pause);
    self.timer->async_wait([this, index](const boost::system::error_code& failed) {
        if (!failed) {
            call(index);
        }
    });
}

void load_generator::impl::next(std::size_t index)
{
    auto& self = m_clients[index];
    self.busy = false;
    --m_busy;
    const bool isEnough = m_settings.programs != 0 && m_report.programs >= m_settings.programs;
    m_over = m_over || isEnough;
    if (m_over) {
        if (m_busy == 0) {
            m_context.stop();
        }
        return;
    }
    if (!isOpenLoop()) {
        begin(index);
    }
}

//------------------------------------------------------------------------------------------------------------------
// The run
//------------------------------------------------------------------------------------------------------------------

void load_generator::impl::scheduleArrival()
{
    std::exponential_distribution<double> gap(m_settings.callsPerSecond / std::max(1U, m_settings.turns));
    m_arrivals.expires_after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random))));
    m_arrivals.async_wait([this](const boost::system::error_code& failed) {
        if (failed || m_over) {
            return;
        }
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            if (!m_clients[index].busy) {
                begin(index);
                scheduleArrival();
                return;
            }
        }
        ++m_report.failures["no free client"];
        scheduleArrival();
    });
}

void load_generator::impl::scheduleEnd()
{
    m_end.expires_after(m_settings.duration);
    m_end.async_wait([this](const boost::system::error_code& failed) {
        if (failed) {
            return;
        }
        m_over = true;
        if (m_busy == 0) {
            m_context.stop();
            return;
        }
        m_end.expires_after(m_settings.drain);
        m_end.async_wait([this](const boost::system::error_code&) { m_context.stop(); });
    });
}

load_report load_generator::impl::run()
{
    makeHttpClient();
    m_clients.resize(m_settings.clients);
    for (auto& one : m_clients) {
        one.timer = std::make_unique<asio::steady_timer>(m_context);
    }
    const auto start = m_clock.now();
    scheduleEnd();
    if (isOpenLoop()) {
        scheduleArrival();
    } else {
        for (std::size_t index = 0; index < m_clients.size(); ++index) {
            begin(index);
        }
    }
    m_context.run();
    m_report.elapsed = since(start, m_clock.now());
    m_report.incomplete = m_busy;
    return std::move(m_report);
}

//------------------------------------------------------------------------------------------------------------------

load_generator::load_generator(load_settings settings, const clock_source& clock)
    : m_impl(std::make_unique<impl>(std::move(settings), clock))
{
}

load_generator::~load_generator() = default;

load_report load_generator::run()
{
    return m_impl->run();
}

} // namespace cuminledge::load
