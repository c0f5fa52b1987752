#pragma once

#include <lagoonroute/base/time.h>

#include <optional>

namespace lagoonroute
{

/** Blocks SIGTERM and SIGINT in this thread and the threads it starts, so that waitForStopSignal() receives them. */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT, without a time limit when no timeout is given. Returns whether a signal arrived. */
bool waitForStopSignal(std::optional<Duration> timeout = std::nullopt);

} // namespace lagoonroute
