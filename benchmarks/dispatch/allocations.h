#pragma once

#include <cstddef>

namespace lagoonroute::bench
{

/** Returns the number of calls of operator new since the start of this program. */
std::size_t allocationCount();

/** Returns the number of bytes that are allocated and not yet freed. */
std::size_t allocatedBytes();

} // namespace lagoonroute::bench
