#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>

namespace lagoonroute
{

/** The upstream's clock may run this much slower than ours. */
inline constexpr double slowestClock = 1.02;

/** On top of a lease end, for the way of the order. */
inline constexpr Duration leaseMargin = std::chrono::milliseconds(20);

/** Pause between two tries to reach an upstream that does not answer. */
inline constexpr Duration queryRetry = std::chrono::milliseconds(200);

/** Looks in a row without an answer before the upstream counts as silent: single answers may be lost. */
inline constexpr std::uint32_t tolerableFailedQueries = 2;

} // namespace lagoonroute
