#include <lagoonroute/observation/log.h>

#include <lagoonroute/base/time.h>

#include <boost/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <limits>
#include <memory>
#include <mutex>

namespace lagoonroute
{

namespace
{

spdlog::level::level_enum spdlogLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::off;
}

/** Limits the log, because a flood of lines would take processor time from the work itself. */
constexpr std::uint64_t maxLinesPerSecond = 400;
constexpr std::uint64_t lineDropped = std::numeric_limits<std::uint64_t>::max();

/** Counts a line. Returns `lineDropped` if it must not be written, otherwise how many lines the previous second dropped, reported once. */
std::uint64_t countLine()
{
    static std::mutex mutex;
    static Instant windowStart;
    static std::uint64_t linesInWindow = 0;
    const std::lock_guard lock(mutex);
    const Instant now = MonotonicClock::now();
    std::uint64_t dropped = 0;
    if (now - windowStart >= std::chrono::seconds(1)) {
        dropped = linesInWindow > maxLinesPerSecond ? linesInWindow - maxLinesPerSecond : 0;
        windowStart = now;
        linesInWindow = 0;
    }
    return ++linesInWindow > maxLinesPerSecond ? lineDropped : dropped;
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(text.data(), text.size()));
}

} // namespace

LogField::LogField(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , value(quoted(text))
{
}

LogField::LogField(std::string_view fieldName, std::int64_t number)
    : name(fieldName)
    , value(std::to_string(number))
{
}

LogField LogField::json(std::string_view fieldName, std::string text)
{
    LogField field(fieldName, 0);
    field.value = std::move(text);
    return field;
}

void startLogging(const std::string &node, LogLevel level, LogTarget target)
{
    spdlog::sink_ptr sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    if (target == LogTarget::StandardOutput) {
        sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    auto logger = std::make_shared<spdlog::logger>("lagoonroute", std::move(sink));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","node":)" + quoted(node) + ",%v}");
    logger->set_level(spdlogLevel(level));
    spdlog::set_default_logger(std::move(logger));
}

bool isLogged(LogLevel level)
{
    return spdlog::should_log(spdlogLevel(level));
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!isLogged(level)) {
        return;
    }
    const std::uint64_t dropped = countLine();
    if (dropped == lineDropped) {
        return;
    }
    if (dropped > 0) {
        spdlog::warn(R"("event":"log-lines-dropped","count":{})", dropped);
    }
    std::string line = "\"event\":" + quoted(event);
    for (const LogField &field : fields) {
        line += "," + quoted(field.name) + ":" + field.value;
    }
    spdlog::log(spdlogLevel(level), "{}", line);
}

} // namespace lagoonroute
