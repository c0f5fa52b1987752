#pragma once

#include <functional>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/**
 * Runs a loop until it is stopped or out of work.
 *
 * An exception that leaves a handler is logged as "handler-failed" and costs that handler only; `onFault` is called after it.
 */
void runContained(boost::asio::io_context &loop, const std::function<void()> &onFault = {});

} // namespace lagoonroute
