#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace cuminledge {

enum class log_level {
    Debug,
    Info,
    Warning,
    Error
};

/// One key=value pair of a log line.
using log_field = std::pair<std::string_view, std::string_view>;

/**
 * Sets up the process's log: one line of key=value pairs for each event, on standard output.
 *
 * @param process the name that every line carries as process=…
 * @param level lines below it are dropped.
 */
void startLog(const std::string& process, log_level level);

/**
 * From now on lines wait in memory until flushLog(), and none is ever waited for: what standard output does not take is
 * dropped past maxBufferedLogBytes and counted in the next line that fits.
 */
void bufferLog();

/// Hands the waiting lines to standard output, as far as it takes them without blocking. Does nothing without bufferLog().
void flushLog();

constexpr std::size_t maxBufferedLogBytes = 256U << 10U;

/**
 * Writes one event: `logEvent(log_level::Info, "key_withdrawn", {{"key", id}, {"account", account}});`
 * Values with spaces, quotes or line breaks are quoted and escaped, so that a line stays one line.
 */
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields);
void logEvent(log_level level, std::string_view event, std::span<const log_field> fields);

/// @return the fields as `event=… key=value …`, without time, level and process.
std::string formatLogLine(std::string_view event, std::span<const log_field> fields);

/// @return "debug", "info", "warning" or "error".
const char* toString(log_level level);

} // namespace cuminledge
