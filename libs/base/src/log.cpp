#include <base/log.hpp>

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cuminledge {

namespace {

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
    auto logger = spdlog::stderr_logger_st("cuminledge");
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=" + process + " %v", spdlog::pattern_time_type::utc);
    logger->set_level(toSpdlog(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
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
