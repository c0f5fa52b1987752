#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonroute
{

/**
 * Batches the messages of a home to each worker, so that one message covers many tasks.
 *
 * Withdrawals and recovery queries are sent by the next send(). Acknowledgements of results are delayed briefly so that
 * more of them share a message.
 */
class WorkerMessages
{
public:
    /** Queues a withdrawal of the task for this incarnation of the worker; with `stopStarted`, a running task is stopped. */
    void withdraw(NodeId worker, Incarnation incarnation, const TaskId &task, bool stopStarted);

    /** Queues a query for the state of the task to this incarnation of the worker. */
    void recover(NodeId worker, Incarnation incarnation, const TaskId &task);

    /** Queues an acknowledgement that the task's result is recorded. */
    void acknowledge(NodeId worker, const TaskId &task, Instant now);

    /** Sends all queued withdrawals and queries, and the acknowledgements if they are due. */
    void send(const ShardView &view, Instant now, std::vector<AgentAction> &actions);

    /** Time at which acknowledgements are due, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const noexcept
    {
        return m_acknowledgeAt;
    }

private:
    using WorkerIncarnation = std::pair<NodeId, Incarnation>;

    std::map<std::pair<WorkerIncarnation, bool>, std::vector<TaskId>> m_withdrawals;
    std::map<WorkerIncarnation, std::vector<TaskId>> m_queries;
    std::map<NodeId, std::vector<TaskId>> m_acknowledgements;
    std::optional<Instant> m_acknowledgeAt;
};

} // namespace lagoonroute
