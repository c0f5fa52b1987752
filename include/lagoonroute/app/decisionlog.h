#pragma once

#include <lagoonroute/direct/upstreamevents.h>

namespace lagoonroute
{

/** Writes a core's note to the log. */
void logDecision(const DecisionNote &note);

} // namespace lagoonroute
