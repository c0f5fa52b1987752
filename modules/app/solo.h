#pragma once

#include <lagoonroute/app/settings.h>

#include <cstddef>

namespace lagoonroute
{

/** Runs an entry, the given number of agents and a sample upstream beside each in this process, until a stop signal. */
void runSolo(const Settings &settings, std::size_t agents);

} // namespace lagoonroute
