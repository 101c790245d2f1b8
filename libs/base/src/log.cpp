#include <base/log.hpp>

#include <algorithm>
#include <memory>

#include <poll.h>
#include <unistd.h>

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cuminledge {

namespace {

    /// Keeps lines until they are asked for, and writes only what standard output takes at once.
    class buffer_sink final : public spdlog::sinks::base_sink<std::mutex> {
    public:
        void writeSome()
        {
            const std::lock_guard lock(mutex_);
            while (m_written < m_lines.size() && isWritable()) {
                // A pipe that is writable takes so many bytes without blocking (pipe(7)).
                constexpr std::size_t maxWriteBytes = 4096;
                const auto size = std::min(m_lines.size() - m_written, maxWriteBytes);
                const auto count = ::write(STDOUT_FILENO, m_lines.data() + m_written, size);
                if (count <= 0) {
                    break;
                }
                m_written += static_cast<std::size_t>(count);
            }
            m_lines.erase(0, m_written);
            m_written = 0;
        }

    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            spdlog::memory_buf_t line;
            formatter_->format(message, line);
            if (m_lines.size() + line.size() > maxBufferedLogBytes) {
                ++m_dropped;
                return;
            }
            if (m_dropped > 0) {
                m_lines += "event=log_lines_dropped count=" + std::to_string(std::exchange(m_dropped, 0)) + "\n";
            }
            m_lines.append(line.data(), line.size());
        }

        void flush_() override { }

    private:
        static bool isWritable()
        {
            pollfd output { STDOUT_FILENO, POLLOUT, 0 };
            return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        }

        std::string m_lines;
        std::size_t m_written = 0;
        std::uint64_t m_dropped = 0;
    };

    std::shared_ptr<buffer_sink>& bufferInUse()
    {
        static std::shared_ptr<buffer_sink> sink;
        return sink;
    }

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
    }

    void appendQuoted(std::string& line, std::string_view value)
    {
        line += '"';
        for (const char c : value) {
            switch (c) {
            case '"':
                line += "\\\"";
                break;
            case '\\':
                line += "\\\\";
                break;
            case '\n':
                line += "\\n";
                break;
            case '\r':
                line += "\\r";
                break;
            default:
                line += c;
            }
        }
        line += '"';
    }

    std::string linePattern(const std::string& process)
    {
        return "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=" + process + " %v";
    }

    spdlog::level::level_enum toSpdlog(log_level level)
    {
        switch (level) {
        case log_level::Debug:
            return spdlog::level::debug;
        case log_level::Info:
            return spdlog::level::info;
        case log_level::Warning:
            return spdlog::level::warn;
        case log_level::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

} // namespace

const char* toString(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "info";
}

std::string formatLogLine(std::string_view event, std::span<const log_field> fields)
{
    std::string line = "event=";
    line += event;
    for (const auto& [key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        if (needsQuotes(value)) {
            appendQuoted(line, value);
        } else {
            line += value;
        }
    }
    return line;
}

void startLog(const std::string& process, log_level level)
{
    auto logger = spdlog::stdout_logger_st(process);
    logger->set_pattern(linePattern(process), spdlog::pattern_time_type::utc);
    logger->set_level(toSpdlog(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void bufferLog()
{
    const auto logger = spdlog::default_logger();
    auto sink = std::make_shared<buffer_sink>();
    sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(
        linePattern(logger->name()), spdlog::pattern_time_type::utc));
    logger->sinks() = { sink };
    bufferInUse() = std::move(sink);
}

void flushLog()
{
    if (const auto& sink = bufferInUse()) {
        sink->writeSome();
    }
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    logEvent(level, event, std::span<const log_field>(fields.begin(), fields.size()));
}

void logEvent(log_level level, std::string_view event, std::span<const log_field> fields)
{
    spdlog::default_logger_raw()->log(toSpdlog(level), formatLogLine(event, fields));
}

} // namespace cuminledge
