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
 * Decides which waiting task starts next and on which worker. Pure: no clock, no randomness of its own.
 *
 * The scheduler keeps the queue of one service at its home and the account of every worker's slots. The home calls
 * nextPlacement() until it returns nothing, after every change.
 */
template <PlacementPolicy Policy>
class BasicScheduler
{
public:
    /** Creates a scheduler under the given rules; `seed` feeds the generator of back-offs and of policies that draw lots. */
    BasicScheduler(ServiceRules rules, std::uint64_t seed);

    /** Replaces the rules. Waiting tasks stay, also above a lowered limit. */
    void setRules(ServiceRules rules);

    /** Names the node on which the home runs: jobs of one task go to its own worker when that has a free slot. */
    void setHome(NodeId home);

    /** Adds a worker or replaces what is known of it. */
    void updateWorker(const WorkerState &worker);

    /** Forgets a worker. Tasks accounted to it stay the caller's to settle. */
    void removeWorker(NodeId worker);

    /** Tells whether a job of these tasks may enter the queue now; a refusal names the reason. */
    [[nodiscard]] std::optional<AdmissionRefusal> admit(const std::vector<TaskDemand> &tasks, Instant now) const;

    /** Appends a task. The job must have been admitted. A task that was refused before it started waits for its back-off. */
    void enqueue(TaskDemand task, Instant now);

    /** Takes a waiting task out of the queue. Returns false when it does not wait. */
    bool remove(const TaskId &task);

    /** Returns the next task to start and its worker, and accounts the slot to it; nothing when none can start. */
    [[nodiscard]] std::optional<Placement> nextPlacement(Instant now);

    /** Returns waiting tasks whose start-by time has passed, taking them out of the queue. */
    [[nodiscard]] std::vector<TaskId> takeExpired(Instant now);

    /** Settles the slot that a task held on a worker. `runTime` is what the worker measured. Repeating it changes nothing. */
    void attemptEnded(const TaskId &task, NodeId worker, AttemptResult result, Duration runTime, Instant now);

    /** Accounts a task that a worker is known to run already, after the home has changed. */
    void adopt(const TaskDemand &task, NodeId worker, Instant now);

    /**
     * Returns tasks that wait at the executor of a straggler while another worker has a free slot.
     *
     * The home may withdraw them, and calls attemptEnded() with RefusedNotStarted and enqueue() once the withdrawal is
     * confirmed. Each task is returned once, and counts against the retry budget.
     */
    [[nodiscard]] std::vector<Placement> straggling(Instant now);

    /** Returns when something changes by time alone, such as a start-by time. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of tasks that wait. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /** Accounts of all workers. */
    [[nodiscard]] const WorkerAccounts &accounts() const noexcept
    {
        return m_accounts;
    }

    /** Judgement of all workers. */
    [[nodiscard]] const WorkerHealth &health() const noexcept
    {
        return m_health;
    }

private:
    /** A worker that takes nothing else until a task fits that has waited long. */
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
    Instant m_lastCall; // of a method that was told the time
    Instant m_stalledChecked;
    std::vector<Candidate> m_candidates; // of the present decision
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
