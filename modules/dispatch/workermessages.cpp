#include "workermessages.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

constexpr Duration acknowledgeDelay = std::chrono::milliseconds(200);
constexpr std::size_t maxTasksPerMessage = 256;

/** Calls `send` with at most maxTasksPerMessage tasks at a time. */
template <typename Send>
void forEachBatch(const std::vector<TaskId> &tasks, Send &&send)
{
    for (std::size_t first = 0; first < tasks.size(); first += maxTasksPerMessage) {
        const std::size_t last = std::min(tasks.size(), first + maxTasksPerMessage);
        send(std::vector<TaskId>(tasks.begin() + static_cast<std::ptrdiff_t>(first), tasks.begin() + static_cast<std::ptrdiff_t>(last)));
    }
}

} // namespace

void WorkerMessages::withdraw(NodeId worker, Incarnation incarnation, const TaskId &task, bool stopStarted)
{
    m_withdrawals[{ { worker, incarnation }, stopStarted }].push_back(task);
}

void WorkerMessages::recover(NodeId worker, Incarnation incarnation, const TaskId &task)
{
    m_queries[{ worker, incarnation }].push_back(task);
}

void WorkerMessages::acknowledge(NodeId worker, const TaskId &task, Instant now)
{
    m_acknowledgements[worker].push_back(task);
    if (!m_acknowledgeAt) {
        m_acknowledgeAt = now + acknowledgeDelay;
    }
}

void WorkerMessages::send(const ShardView &view, Instant now, std::vector<AgentAction> &actions)
{
    for (const auto &[key, tasks] : m_withdrawals) {
        const auto &[target, stopStarted] = key;
        forEachBatch(tasks, [&, stop = stopStarted, to = target](std::vector<TaskId> batch) {
            actions.emplace_back(SendMessage{ to.first, WithdrawTasks{ view.key, view.epoch, stop, std::move(batch), to.second } });
        });
    }
    m_withdrawals.clear();
    for (const auto &[target, tasks] : m_queries) {
        forEachBatch(tasks, [&, to = target](std::vector<TaskId> batch) {
            actions.emplace_back(SendMessage{ to.first, RecoverTasks{ view.key, view.epoch, std::move(batch), to.second } });
        });
    }
    m_queries.clear();
    if (!m_acknowledgeAt || now < *m_acknowledgeAt) {
        return;
    }
    m_acknowledgeAt.reset();
    for (const auto &[worker, tasks] : m_acknowledgements) {
        forEachBatch(tasks, [&, to = worker](std::vector<TaskId> batch) {
            actions.emplace_back(SendMessage{ to, AcknowledgeResults{ view.key, std::move(batch) } });
        });
    }
    m_acknowledgements.clear();
}

} // namespace lagoonroute
