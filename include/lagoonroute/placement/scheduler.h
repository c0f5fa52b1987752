#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/outcome.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/placement/workerstate.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** One task as the scheduler sees it. */
struct TaskDemand
{
    TaskId task;
    std::string caller; /**< For fair shares among callers. */
    Resources need; /**< As the caller declared it. */
    Duration declaredRunTime{ 0 }; /**< As the caller declared it; zero when he did not. */
    Instant startBy; /**< The task is worthless when it has not started by then. */

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

/**
 * Decides which waiting task starts next and on which worker. Pure: no clock, no randomness of its own.
 *
 * The scheduler keeps the queue of one service at its home and the account of every worker's slots. The home calls
 * nextPlacement() until it returns nothing, after every change.
 */
class Scheduler
{
public:
    /** Creates a scheduler under the given rules; `seed` feeds the generator of policies that draw lots. */
    Scheduler(ServiceRules rules, std::uint64_t seed);

    /** Replaces the rules. Waiting tasks stay, also above a lowered limit. */
    void setRules(ServiceRules rules);

    /** Adds a worker or replaces what is known of it. */
    void updateWorker(const WorkerState &worker);

    /** Forgets a worker. Tasks accounted to it stay the caller's to settle. */
    void removeWorker(NodeId worker);

    /** Tells whether a job of these tasks may enter the queue now; a refusal names the reason. */
    [[nodiscard]] std::optional<AdmissionRefusal> admit(const std::vector<TaskDemand> &tasks, Instant now) const;

    /** Appends a task. The job must have been admitted. */
    void enqueue(TaskDemand task, Instant now);

    /** Takes a waiting task out of the queue. Returns false when it does not wait. */
    bool remove(const TaskId &task);

    /** Returns the next task to start and its worker, and accounts the slot to it; nothing when none can start. */
    [[nodiscard]] std::optional<Placement> nextPlacement(Instant now);

    /** Returns waiting tasks whose start-by time has passed, taking them out of the queue. */
    [[nodiscard]] std::vector<TaskId> takeExpired(Instant now);

    /** Settles the slot that a task held on a worker. `runTime` is what the worker measured. */
    void attemptEnded(const TaskId &task, NodeId worker, AttemptResult result, Duration runTime, Instant now);

    /** Accounts a task that a worker is known to run already, after the home has changed. */
    void adopt(const TaskDemand &task, NodeId worker, Instant now);

    /** Returns when something changes by time alone, such as a start-by time. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of tasks that wait. */
    [[nodiscard]] std::size_t waiting() const noexcept;

private:
    struct WorkerAccount
    {
        WorkerState state;
        std::uint32_t running = 0;
    };

    ServiceRules m_rules;
    std::deque<TaskDemand> m_queue;
    std::map<NodeId, WorkerAccount> m_workers;
};

} // namespace lagoonroute
