#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>

namespace lagoonroute
{

/** Factor by which the upstream's clock may run slower than the agent's. */
inline constexpr double slowestClock = 1.02;

/** Longest lease that an upstream grants, on its own clock, whatever end an order names. */
inline constexpr Duration longestLease = std::chrono::milliseconds(1000);

/** Margin on a lease end for the one-way delay of the order. */
inline constexpr Duration leaseMargin = std::chrono::milliseconds(20);

/** Delay between two attempts to reach an upstream that does not answer. */
inline constexpr Duration queryRetry = std::chrono::milliseconds(200);

/** Status queries in a row that may stay without an answer before the upstream counts as unresponsive: single answers may be lost. */
inline constexpr std::uint32_t tolerableFailedQueries = 2;

/** Time after which the longest lease has ended on the slowest clock. */
inline constexpr Duration longestLeaseTime = std::chrono::duration_cast<Duration>(longestLease * slowestClock) + leaseMargin;

} // namespace lagoonroute
