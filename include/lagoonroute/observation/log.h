#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lagoonroute
{

/** Severity of a log line. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** Named value in a log line. */
struct LogField
{
    std::string_view name;
    std::string value;

    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, std::int64_t number);

    /** Returns a field whose value is already JSON text and is written unquoted. */
    static LogField json(std::string_view fieldName, std::string text);
};

/** Stream to which the log is written. */
enum class LogTarget : std::uint8_t {
    StandardError,
    StandardOutput,
};

/**
 * Sets up the log of the process: one JSON object per line, for lines of the given level and above.
 *
 * At most 400 lines per second are written. A line with the event "log-lines-dropped" reports how many were dropped.
 */
void startLogging(const std::string &node, LogLevel level, LogTarget target = LogTarget::StandardError);

/** Returns whether lines of this level are written. */
bool isLogged(LogLevel level);

/** Writes one line with the name of the event and its fields. Callable from any thread. */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace lagoonroute
