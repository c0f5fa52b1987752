#pragma once

#include <lagoonroute/base/time.h>

namespace lagoonroute
{

/** Factor by which an upstream's clock may run slower than the agent's. */
inline constexpr double slowestClock = 1.02;

/** Margin on a lease end for the one-way delay of the order. */
inline constexpr Duration leaseMargin = std::chrono::milliseconds(20);

/** Longest lease that an upstream grants by default, on its own clock, whatever end an order names. */
inline constexpr Duration defaultLongestLease = std::chrono::milliseconds(1000);

/** Timeout of an answer from the same host, where a round trip takes less than 1 ms. */
inline constexpr Duration upstreamOrderTimeout = std::chrono::milliseconds(20);

/** Time without an echo after which an agent stops the runs of an entry. */
inline constexpr Duration agentLinkTimeout = std::chrono::milliseconds(700);

/** Returns the time from an answered order until a lease of the given length has ended on the slowest clock. */
constexpr Duration leaseTime(Duration lease)
{
    return std::chrono::duration_cast<Duration>(lease * slowestClock) + leaseMargin;
}

} // namespace lagoonroute
