#pragma once

#include <lagoonroute/app/settings.h>

#include <cstddef>

namespace lagoonroute
{

/** Runs an entry and the given number of agents, each with a sample upstream, in this process until a stop signal arrives. */
void runSolo(const Settings &settings, std::size_t agents);

} // namespace lagoonroute
