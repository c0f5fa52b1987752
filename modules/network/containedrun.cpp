#include <lagoonroute/network/containedrun.h>

#include <lagoonroute/observation/log.h>

#include <boost/asio/io_context.hpp>

#include <exception>

namespace lagoonroute
{

void runContained(boost::asio::io_context &loop, const std::function<void()> &onFault)
{
    while (!loop.stopped()) {
        try {
            loop.run();
        } catch (const std::exception &error) {
            logLine(LogLevel::Error, "handler-failed", { { "fault", error.what() } });
            if (onFault) {
                onFault();
            }
        }
    }
}

} // namespace lagoonroute
