#pragma once

#include <functional>

namespace boost::asio
{
class io_context;
}

namespace lagoonroute
{

/**
 * Runs a loop until it is stopped or has no work left.
 *
 * An exception from a handler ends only that handler: it is logged as "handler-failed", `onFault` is called, and the loop
 * goes on.
 */
void runContained(boost::asio::io_context &loop, const std::function<void()> &onFault = {});

} // namespace lagoonroute
