#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/directjob.h>

#include <cstdint>

namespace lagoonroute
{

/** Time over which the rate of finished work is smoothed. */
inline constexpr Duration workRateTime = std::chrono::seconds(1);

/** Least time that a refusal asks a client account to wait: a shorter one would only come back into the same queue. */
inline constexpr Duration shortestRetryAfter = std::chrono::seconds(1);

/** Most time that a refusal asks a client account to wait: a forecast of more says only that the service is short of room now. */
inline constexpr Duration longestRetryAfter = std::chrono::seconds(30);

/** Refusal of a job that no upstream is large enough for, or has the label for. */
inline DirectAnswer neverRunnable()
{
    return DirectAnswer{ DirectVerdict::NotRun, "never-runnable", shortestRetryAfter };
}

/** Head start in the queue of a small job over a large one of the same priority, at most. */
inline constexpr Duration largestHeadStart = std::chrono::milliseconds(120);

/** Returns the duration times the factor. */
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace lagoonroute
