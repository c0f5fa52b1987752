#pragma once

#include <lagoonroute/placement/taskdemand.h>
#include <lagoonroute/placement/workerstate.h>

#include <map>
#include <vector>

namespace lagoonroute
{

/** A task that was sent to a worker and is not settled yet. */
struct AccountedTask
{
    TaskDemand demand;
    Duration estimate{ 0 };
    Instant enqueued;
    Instant placed;
    Incarnation incarnation = 0; /**< Life of the worker that was sent the task. */
    bool withdrawn = false; /**< Whether its withdrawal was proposed already. */
};

/** What one worker holds of the home's tasks. */
class WorkerAccount
{
public:
    /** What is known of the worker; a worker that is gone has no slots. */
    [[nodiscard]] const WorkerState &state() const noexcept
    {
        return m_state;
    }

    /** Tasks that may run at once: slots, and connections where the worker states them. */
    [[nodiscard]] std::uint32_t slots() const noexcept;

    /** Tasks of the worker's present life: those that run, are on their way, or wait at its executor. */
    [[nodiscard]] std::uint32_t assigned() const noexcept
    {
        return m_assigned;
    }

    /** Tells whether the worker is known, has slots and is not leaving. */
    [[nodiscard]] bool takesWork() const noexcept
    {
        return slots() > 0 && !m_state.leaving;
    }

    /** Tells whether a need fits beside what is accounted. */
    [[nodiscard]] bool fits(const Resources &need) const noexcept;

    /** Unsettled tasks in the order in which they were placed, those of an earlier life included. */
    [[nodiscard]] const std::vector<AccountedTask> &tasks() const noexcept
    {
        return m_tasks;
    }

private:
    friend class WorkerAccounts;

    WorkerState m_state;
    bool m_known = false;
    std::uint32_t m_assigned = 0;
    Resources m_used;
    std::vector<AccountedTask> m_tasks;
};

/**
 * Exact account of every worker's slots, connections, processors, memory and accelerators.
 *
 * A worker that is removed keeps its tasks until they are settled. Tasks of an earlier life of a worker stay to be
 * settled, but take nothing of its present life.
 */
class WorkerAccounts
{
public:
    /** Adds a worker or replaces what is known of it. An older incarnation than the known one is ignored. */
    void update(const WorkerState &worker);

    /** Forgets a worker, but not its unsettled tasks. */
    void remove(NodeId worker);

    /** Accounts a task to a worker, also to one that is not known yet. Repeating it changes nothing. */
    void assign(NodeId worker, AccountedTask task);

    /** Settles a task. Returns nothing when it was not accounted to that worker. */
    std::optional<AccountedTask> settle(const TaskId &task, NodeId worker);

    /** Returns the newest tasks beyond the worker's slots, which most likely wait at its executor; each only once. */
    std::vector<TaskId> takeWithdrawable(NodeId worker);

    /** Workers that are known, and those that are gone with tasks unsettled. */
    [[nodiscard]] const std::map<NodeId, WorkerAccount> &all() const noexcept
    {
        return m_accounts;
    }

    /** Account of a worker, or null. */
    [[nodiscard]] const WorkerAccount *find(NodeId worker) const;

    /** Slots of all workers that take new work. */
    [[nodiscard]] std::uint32_t slots() const noexcept
    {
        return m_slots;
    }

    /** Tasks accounted to workers that take new work. */
    [[nodiscard]] std::uint32_t assigned() const noexcept
    {
        return m_assigned;
    }

    /** Tells whether a need fits an empty worker of any class that was ever known. */
    [[nodiscard]] bool fitsAnyClass(const Resources &need) const;

    /** Tells whether a need fits an empty worker that takes new work. */
    [[nodiscard]] bool fitsAnyWorker(const Resources &need) const;

private:
    void countSlots();

    std::map<NodeId, WorkerAccount> m_accounts;
    std::vector<Resources> m_classes; // capacities ever seen, none of which fits into another
    std::uint32_t m_slots = 0;
    std::uint32_t m_assigned = 0;
};

} // namespace lagoonroute
