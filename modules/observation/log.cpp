#include <lagoonroute/observation/log.h>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lagoonroute
{

void startLogging(const std::string &node, const std::string &level)
{
    auto logger = spdlog::stderr_logger_mt("lagoonroute-" + node);
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","node":")" + node + R"(",%v})");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
}

} // namespace lagoonroute
