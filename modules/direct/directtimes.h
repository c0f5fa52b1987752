#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/directjob.h>

#include <cstdint>

namespace lagoonroute
{

/** Time over which the rate of finished work is smoothed. */
inline constexpr Duration workRateTime = std::chrono::seconds(1);

/** Shortest retry delay in a refusal: after a shorter one, a resubmission would find the same queue. */
inline constexpr Duration shortestRetryAfter = std::chrono::seconds(1);

/** Longest retry delay in a refusal: a longer forecast shows only that the service is short of capacity now. */
inline constexpr Duration longestRetryAfter = std::chrono::seconds(30);

/** Returns the refusal of a job for which no upstream is large enough or has the required label. */
inline DirectAnswer neverRunnable()
{
    return DirectAnswer{ DirectVerdict::NotRun, "never-runnable", shortestRetryAfter };
}

/** Returns the refusal of a job while no agent accepts starts. */
inline DirectAnswer noAgent()
{
    return DirectAnswer{ DirectVerdict::NotRun, "no-worker", shortestRetryAfter };
}

/** Retry delay in a refusal because of a drain: an operator's change takes effect within this time, and a drain mostly lasts much longer. */
inline constexpr Duration drainRetryAfter = std::chrono::seconds(5);

/** Returns the refusal of a job that only upstreams in drained zones could run. */
inline DirectAnswer zoneDrained()
{
    return DirectAnswer{ DirectVerdict::NotRun, "zone-drained", drainRetryAfter };
}

/** Largest head start in the queue of a small job over a large one of the same priority. */
inline constexpr Duration largestHeadStart = std::chrono::milliseconds(120);

/** Returns the duration times the factor. */
inline Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace lagoonroute
