#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lagoonroute
{

/** Weight of a log line. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** A named value of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;

    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, std::int64_t number);

    /** Returns a field whose value is already JSON. */
    static LogField json(std::string_view fieldName, std::string text);
};

/** Where the log goes. */
enum class LogTarget : std::uint8_t {
    StandardError,
    StandardOutput,
};

/**
 * Sets up the process-wide log: one JSON object a line, from the given level on.
 *
 * At most 400 lines a second are written; a line tells how many were left out.
 */
void startLogging(const std::string &node, LogLevel level, LogTarget target = LogTarget::StandardError);

/** Tells whether lines of this level are written. */
bool isLogged(LogLevel level);

/** Writes one line: the name of the event, and its fields. Callable from any thread. */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

} // namespace lagoonroute
