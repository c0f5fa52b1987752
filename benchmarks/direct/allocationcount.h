#pragma once

#include <cstdint>

namespace lagoonroute::bench
{

/** Returns the number of calls of operator new in this process so far. Linking its source replaces the global operator new. */
std::uint64_t allocationCount() noexcept;

} // namespace lagoonroute::bench
