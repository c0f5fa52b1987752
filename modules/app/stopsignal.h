#pragma once

#include <lagoonroute/base/time.h>

#include <optional>

namespace lagoonroute
{

/** Blocks SIGTERM and SIGINT in this thread and those it starts, so that waitForStopSignal() receives them. */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT, for the given time at most. Returns whether one arrived. */
bool waitForStopSignal(std::optional<Duration> longest = std::nullopt);

} // namespace lagoonroute
