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
    Incarnation incarnation = 0; /**< Incarnation of the worker to which the task was sent. */
    bool withdrawalProposed = false; /**< Whether takeWithdrawable() has already returned the task. */
};

/** Tasks of this home that are assigned to one worker, and the resources they use. */
class WorkerAccount
{
public:
    /** Latest state of the worker. After the worker is removed, slots() returns 0. */
    [[nodiscard]] const WorkerState &state() const noexcept
    {
        return m_state;
    }

    /** Number of tasks that may run at once: the slots, limited by the connections where the worker reports them. */
    [[nodiscard]] std::uint32_t slots() const noexcept;

    /** Number of tasks of the worker's current incarnation: those that run, are in transit, or wait at its executor. */
    [[nodiscard]] std::uint32_t assigned() const noexcept
    {
        return m_assigned;
    }

    /** Returns whether the worker is known, has slots and is not leaving. */
    [[nodiscard]] bool takesWork() const noexcept
    {
        return slots() > 0 && !m_state.leaving;
    }

    /** Returns whether the resources fit into the capacity that the accounted tasks leave free. */
    [[nodiscard]] bool fits(const Resources &need) const noexcept;

    /** Unsettled tasks in order of placement, those of earlier incarnations included. */
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
 * The tasks of a removed worker stay accounted until they are settled. Tasks of an earlier incarnation of a worker must
 * still be settled, but use no capacity of its current incarnation.
 */
class WorkerAccounts
{
public:
    /** Adds a worker or replaces its state. An update with an older incarnation is ignored. */
    void update(const WorkerState &worker);

    /** Removes a worker but retains its unsettled tasks. */
    void remove(NodeId worker);

    /** Accounts a task to a worker, which need not be known yet. Repeated calls have no effect. */
    void assign(NodeId worker, AccountedTask task);

    /** Removes a task from a worker's account and returns it. Returns nothing when it was not accounted to that worker. */
    std::optional<AccountedTask> settle(const TaskId &task, NodeId worker);

    /** Returns the newest tasks beyond the number of the worker's slots, which most likely wait at its executor. Returns each task only once. */
    std::vector<TaskId> takeWithdrawable(NodeId worker);

    /** Accounts of all known workers and of removed workers with unsettled tasks. */
    [[nodiscard]] const std::map<NodeId, WorkerAccount> &all() const noexcept
    {
        return m_accounts;
    }

    /** Account of a worker, or null. */
    [[nodiscard]] const WorkerAccount *find(NodeId worker) const;

    /** Number of slots of all workers that accept new tasks. */
    [[nodiscard]] std::uint32_t slots() const noexcept
    {
        return m_slots;
    }

    /** Number of tasks accounted to workers that accept new tasks. */
    [[nodiscard]] std::uint32_t assigned() const noexcept
    {
        return m_assigned;
    }

    /** Returns whether the resources fit into any capacity that a worker has ever reported. */
    [[nodiscard]] bool fitsAnyClass(const Resources &need) const;

    /** Returns whether the resources fit into the total capacity of a worker that accepts new tasks. */
    [[nodiscard]] bool fitsAnyWorker(const Resources &need) const;

private:
    void countSlots();

    std::map<NodeId, WorkerAccount> m_accounts;
    std::vector<Resources> m_classes; // capacities ever reported, without those that fit into another
    std::uint32_t m_slots = 0;
    std::uint32_t m_assigned = 0;
};

} // namespace lagoonroute
