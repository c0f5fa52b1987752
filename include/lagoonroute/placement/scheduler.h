#pragma once

#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/placement/fairqueue.h>
#include <lagoonroute/placement/placementpolicy.h>
#include <lagoonroute/placement/retrybudget.h>
#include <lagoonroute/placement/runtimeestimator.h>
#include <lagoonroute/placement/workeraccounts.h>
#include <lagoonroute/placement/workerhealth.h>

#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Decides which waiting task starts next and on which worker. Deterministic: the caller passes the time and the random seed.
 *
 * The scheduler manages the queue of one service at its home and accounts for every worker's slots. After every change the
 * home calls nextPlacement() until it returns nothing.
 */
template <PlacementPolicy Policy>
class BasicScheduler
{
public:
    /** Creates a scheduler under the given rules; `seed` initialises the random generator for back-offs and randomised policies. */
    BasicScheduler(ServiceRules rules, std::uint64_t seed);

    /** Replaces the rules. Waiting tasks stay in the queue even when they exceed a lowered limit. */
    void setRules(ServiceRules rules);

    /** Sets the node on which the home runs. Jobs of one task go to the worker on that node when it has a free slot. */
    void setHome(NodeId home);

    /** Adds a worker or replaces its state. */
    void updateWorker(const WorkerState &worker);

    /** Removes a worker. The caller must still settle the tasks accounted to it. */
    void removeWorker(NodeId worker);

    /** Returns the reason to refuse a job of these tasks, or nothing when it may enter the queue now. */
    [[nodiscard]] std::optional<AdmissionRefusal> admit(const std::vector<TaskDemand> &tasks, Instant now) const;

    /** Adds a task of an admitted job to the queue. A task that a worker refused before it started is delayed by its back-off first. */
    void enqueue(TaskDemand task, Instant now);

    /** Removes a waiting task, delayed ones included. Returns false when the task is not waiting. */
    bool remove(const TaskId &task);

    /** Returns the next task to start and its worker, and accounts the task to that worker. Returns nothing when no task can start. */
    [[nodiscard]] std::optional<Placement> nextPlacement(Instant now);

    /** Removes and returns the waiting tasks whose start-by time has passed. */
    [[nodiscard]] std::vector<TaskId> takeExpired(Instant now);

    /** Releases the slot of a task on a worker. `runTime` is the run time measured by the worker. Repeated calls have no effect. */
    void attemptEnded(const TaskId &task, NodeId worker, AttemptResult result, Duration runTime, Instant now);

    /** Accounts a task that a worker already runs, after the home has changed. */
    void adopt(const TaskDemand &task, NodeId worker, Instant now);

    /**
     * Returns the tasks that wait at the executor of a straggler while another worker has a free slot.
     *
     * The home may withdraw them. Once a withdrawal is confirmed, it calls attemptEnded() with RefusedNotStarted and then
     * enqueue(). Each task is returned once and counts against the retry budget.
     */
    [[nodiscard]] std::vector<Placement> takeStragglerWithdrawals(Instant now);

    /** Returns the next time at which a decision may change without an event, such as a start-by time or the end of a back-off. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of waiting tasks, delayed ones included. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /** Accounts of all workers. */
    [[nodiscard]] const WorkerAccounts &accounts() const noexcept
    {
        return m_accounts;
    }

    /** Health of all workers. */
    [[nodiscard]] const WorkerHealth &health() const noexcept
    {
        return m_health;
    }

private:
    /** Reserves a worker for one task that has waited long: no other task is placed there until it fits. */
    struct Reservation
    {
        TaskId task;
        NodeId worker;
    };

    void releaseDelayed(Instant now);
    void collectCandidates(Instant now);
    void findStalled(Instant now);
    [[nodiscard]] std::optional<std::size_t> chooseWorker(const WaitingTask &task);
    void reserveFor(const WaitingTask &task);
    void dropReservationOf(const TaskId &task);
    void dropUnusableReservation(Instant now);
    [[nodiscard]] bool hasOtherFreeSlot(NodeId worker, Instant now) const;

    ServiceRules m_rules;
    PlacementRandom m_random;
    Policy m_policy;
    NodeId m_home;
    FairQueue m_queue;
    RunTimeEstimator m_estimator;
    WorkerAccounts m_accounts;
    WorkerHealth m_health;
    RetryQueue m_retries;
    std::optional<Reservation> m_reservation;
    Instant m_lastCall; // latest time passed to a method
    Instant m_stalledChecked;
    std::vector<Candidate> m_candidates; // for the current decision
    std::vector<const WorkerAccount *> m_candidateAccounts;
    std::vector<Candidate> m_fitting;
    Duration m_drainTime{ 0 };
};

extern template class BasicScheduler<LateBinding>;
extern template class BasicScheduler<RandomChoice>;
extern template class BasicScheduler<RoundRobin>;
extern template class BasicScheduler<TwoChoices>;
extern template class BasicScheduler<LeastLoaded>;

/** The scheduler of a home. */
using Scheduler = BasicScheduler<LateBinding>;

} // namespace lagoonroute
