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

/** Properties of a task that the scheduler needs. */
struct TaskDemand
{
    TaskId task;
    std::string caller; /**< Caller to which the task is charged for fair sharing. */
    Resources need; /**< Resources declared by the caller. */
    Duration declaredRunTime{ 0 }; /**< Run time declared by the caller; zero when not declared. */
    Instant startBy; /**< Deadline of the job: the task expires when it has not started by then. */
    std::uint16_t jobSize = 0; /**< Number of tasks in the job; zero when unspecified. */

    auto operator<=>(const TaskDemand &) const = default;
};

/** Decision to start a task on a worker. */
struct Placement
{
    TaskId task;
    NodeId worker;

    auto operator<=>(const Placement &) const = default;
};

/** Reason why a job is not admitted to the queue. */
struct AdmissionRefusal
{
    Reason reason = Reason::None;
    std::string detail;
    std::optional<Duration> retryAfter;

    auto operator<=>(const AdmissionRefusal &) const = default;
};

/** Result of an attempt to run a task on a worker, as recorded by the home. */
enum class AttemptResult : std::uint8_t {
    Succeeded,
    FailedAtWorker, /**< The upstream answered with an error, closed the connection or timed out. */
    RefusedNotStarted, /**< The worker confirmed that it did not start the task. */
};

} // namespace lagoonroute
