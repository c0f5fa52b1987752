#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/outcome.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace lagoonroute
{

/** One task as the scheduler sees it. */
struct TaskDemand
{
    TaskId task;
    std::string caller; /**< For fair shares among callers. */
    Resources need; /**< As the caller declared it. */
    Duration declaredRunTime{ 0 }; /**< As the caller declared it; zero when he did not. */
    Instant startBy; /**< Deadline of the job: the task is worthless when it has not started by then. */
    std::uint16_t jobSize = 0; /**< Number of tasks in the job; zero when it does not matter. */

    auto operator<=>(const TaskDemand &) const = default;
};

/** Decision to start a task on a worker. */
struct Placement
{
    TaskId task;
    NodeId worker;

    auto operator<=>(const Placement &) const = default;
};

/** Why a job is not admitted to the queue. */
struct AdmissionRefusal
{
    Reason reason = Reason::None;
    std::string detail;
    std::optional<Duration> retryAfter;

    auto operator<=>(const AdmissionRefusal &) const = default;
};

/** How an attempt to run a task on a worker ended, seen from the home. */
enum class AttemptResult : std::uint8_t {
    Succeeded,
    FailedAtWorker, /**< The upstream answered with an error, broke off or timed out. */
    RefusedNotStarted, /**< The worker proved that it did not start the task. */
};

} // namespace lagoonroute
