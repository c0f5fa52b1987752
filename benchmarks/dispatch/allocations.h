#pragma once

#include <cstddef>

namespace lagoonroute::bench
{

/** Calls of operator new so far in this program. */
std::size_t allocationCount();

/** Bytes allocated and not freed. */
std::size_t allocatedBytes();

} // namespace lagoonroute::bench
