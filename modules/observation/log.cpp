#include <lagoonroute/observation/log.h>

#include <boost/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

void startLogging(const std::string &node, LogLevel level)
{
    auto logger = std::make_shared<spdlog::logger>("lagoonroute", std::make_shared<spdlog::sinks::stderr_sink_mt>());
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
    std::string line = "\"event\":" + quoted(event);
    for (const LogField &field : fields) {
        line += "," + quoted(field.name) + ":" + field.value;
    }
    spdlog::log(spdlogLevel(level), "{}", line);
}

} // namespace lagoonroute
