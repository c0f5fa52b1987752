#pragma once

namespace lagoonroute
{

/** Blocks SIGTERM and SIGINT in this thread and those it starts, so that waitForStopSignal() receives them. */
void blockStopSignals();

/** Waits for SIGTERM or SIGINT. */
void waitForStopSignal();

} // namespace lagoonroute
