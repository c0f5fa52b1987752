#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonroute
{

/**
 * Gathers what a home has to tell each worker, so that one message carries many tasks.
 *
 * Withdrawals and questions leave with the next send(); acknowledgements of results wait a little for company.
 */
class WorkerMessages
{
public:
    /** Asks the given life of a worker not to start the task, or to stop it. */
    void withdraw(NodeId worker, Incarnation incarnation, const TaskId &task, bool stopStarted);

    /** Asks the given life of a worker what became of the task. */
    void recover(NodeId worker, Incarnation incarnation, const TaskId &task);

    /** Tells a worker that the task's result is recorded. */
    void acknowledge(NodeId worker, const TaskId &task, Instant now);

    /** Sends what is due. */
    void send(const ShardView &view, Instant now, std::vector<AgentAction> &actions);

    /** When acknowledgements are due, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const noexcept
    {
        return m_acknowledgeAt;
    }

private:
    using Life = std::pair<NodeId, Incarnation>;

    std::map<std::pair<Life, bool>, std::vector<TaskId>> m_withdrawals;
    std::map<Life, std::vector<TaskId>> m_questions;
    std::map<NodeId, std::vector<TaskId>> m_acknowledgements;
    std::optional<Instant> m_acknowledgeAt;
};

} // namespace lagoonroute
