#pragma once

#include <lagoonroute/base/outcome.h>
#include <lagoonroute/dispatch/job.h>

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Every task ran. */
struct JobComplete
{
    std::vector<TaskResult> results; /**< One result per task, in the order of the submission. */

    auto operator<=>(const JobComplete &) const = default;
};

/** At least one task ran or may have run; the job is not complete. */
struct JobFailed
{
    std::string reason; /**< Machine-readable, for example "worker-lost". */
    std::string detail; /**< Explanation for humans. */
    std::vector<TaskIndex> started; /**< Tasks that ran or may have run; empty when that is unknown. */

    auto operator<=>(const JobFailed &) const = default;
};

/** No task has started, and none will under this key. */
struct JobNotRun
{
    std::string reason; /**< Machine-readable, for example "overloaded". */
    std::string detail; /**< Explanation for humans. */

    auto operator<=>(const JobNotRun &) const = default;
};

/** Outcome of a job, as returned to the caller. */
using JobResult = std::variant<JobComplete, JobFailed, JobNotRun>;

} // namespace lagoonroute
