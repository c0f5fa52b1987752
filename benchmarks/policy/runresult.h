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

    /** Returns the percentiles of the values, or zeros when there are none. */
    static Percentiles of(std::vector<Duration> values);
};

/** Result of running one workload with one policy. */
struct RunResult
{
    std::string policy;
    std::vector<Duration> added; /**< Response time minus the work of the job's longest task, for each job that was answered in full. */
    std::vector<Duration> beyondHops; /**< The same, minus the network delays on the way. */
    std::size_t tasks = 0;
    std::size_t failedTasks = 0;
    std::size_t refusedJobs = 0;
    std::size_t wastedMessages = 0; /**< Messages other than one request and one answer per hop. */

    /** Returns the wasted messages per task. */
    [[nodiscard]] double wastedPerTask() const
    {
        return tasks == 0 ? 0 : static_cast<double>(wastedMessages) / static_cast<double>(tasks);
    }
};

} // namespace lagoonroute::bench
