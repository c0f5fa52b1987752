#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute::bench
{

/** Percentiles of a set of durations. */
struct Percentiles
{
    Duration p50{ 0 };
    Duration p99{ 0 };
    Duration p999{ 0 };

    /** Sorts the values and picks the percentiles. */
    static Percentiles of(std::vector<Duration> values);
};

/** What one policy did with one workload. */
struct RunResult
{
    std::string policy;
    std::vector<Duration> added; /**< Answer beyond the work of the job's longest task, for each job answered in full. */
    std::vector<Duration> beyondHops; /**< The same, without the hops that the answer crossed. */
    std::size_t tasks = 0;
    std::size_t failedTasks = 0;
    std::size_t refusedJobs = 0;
    std::size_t wastedMessages = 0; /**< Beyond one request and one answer for each hop crossed. */

    /** Wasted messages for each task. */
    [[nodiscard]] double wastedPerTask() const
    {
        return tasks == 0 ? 0 : static_cast<double>(wastedMessages) / static_cast<double>(tasks);
    }
};

} // namespace lagoonroute::bench
