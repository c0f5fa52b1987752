#include <lagoonroute/dispatch/executorcore.h>

#include <utility>

namespace lagoonroute
{

namespace
{

constexpr Duration initialResendDelay = std::chrono::seconds(5);
constexpr Duration reconnectDelay = std::chrono::milliseconds(20);

} // namespace

void ExecutorCore::acknowledge(const AcknowledgeResults &message, Instant now)
{
    for (const TaskId &id : message.tasks) {
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || !found->second.finished) {
            continue;
        }
        m_resultBytes -= found->second.finished->result.body.size();
        m_unacknowledged.erase(id);
        erase(id);
        close(id, {}, true, now);
    }
}

void ExecutorCore::finish(const TaskId &id, Reason failure, const TaskResult &result, Duration runTime, Instant now, Actions &actions)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end() || found->second.phase != Phase::Running) {
        return;
    }
    Task &task = found->second;
    endRun(task);
    task.phase = Phase::Finished;
    task.finished = TaskFinished{ task.start.shard, task.start.epoch, id, failure, result, runTime };
    m_resultBytes += result.body.size();
    m_unacknowledged.insert(id);
    task.resendDelay = initialResendDelay;
    setDue(task, now + task.resendDelay);
    sendResult(task, actions);
    startQueued(m_upstreams.at(task.start.shard.service), now, actions);
}

void ExecutorCore::handleBrokenCall(const UpstreamCallBroken &event, Instant now, Actions &actions)
{
    if (event.started) {
        finish(event.task, event.reason, TaskResult{}, event.runTime, now, actions);
        return;
    }
    const auto found = m_tasks.find(event.task);
    if (found == m_tasks.end() || found->second.phase != Phase::Running) {
        return;
    }
    endRun(found->second);
    const StartTask message = found->second.start;
    erase(event.task);
    refuse(message, m_homes.at(message.shard).node, event.reason, now, actions);
    startQueued(m_upstreams.at(message.shard.service), now, actions);
}

void ExecutorCore::endRun(Task &task)
{
    Upstream &upstream = m_upstreams.at(task.start.shard.service);
    --m_running;
    --upstream.running;
    upstream.used = upstream.used - task.start.need;
}

void ExecutorCore::sendResult(const Task &task, Actions &actions) const
{
    actions.emplace_back(SendMessage{ m_homes.at(task.start.shard).node, *task.finished });
}

void ExecutorCore::loseConnection(NodeId peer, Instant now)
{
    for (const TaskId &id : m_unacknowledged) {
        Task &task = m_tasks.at(id);
        if (m_homes.at(task.start.shard).node == peer && now + reconnectDelay < task.due) {
            setDue(task, now + reconnectDelay);
        }
    }
}

} // namespace lagoonroute
