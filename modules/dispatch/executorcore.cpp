#include <lagoonroute/dispatch/executorcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

ExecutorCore::ExecutorCore(NodeId self)
    : m_self(self)
{
}

void ExecutorCore::handle(const AgentEvent &event, Instant /*now*/, std::vector<AgentAction> &actions)
{
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        if (const auto *startTask = std::get_if<StartTask>(&received->message)) {
            start(received->from, *startTask, actions);
        } else if (const auto *acknowledged = std::get_if<AcknowledgeResults>(&received->message)) {
            for (const TaskId &task : acknowledged->tasks) {
                m_tasks.erase(task);
            }
        }
    } else if (const auto *announced = std::get_if<UpstreamAnnounced>(&event)) {
        m_upstreams.insert_or_assign(announced->service, *announced);
    } else if (const auto *withdrawn = std::get_if<UpstreamWithdrawn>(&event)) {
        m_upstreams.erase(withdrawn->service);
    } else if (const auto *replied = std::get_if<UpstreamReplied>(&event)) {
        const bool succeeded = replied->result.status >= 200 && replied->result.status < 300;
        finish(replied->task, succeeded ? Reason::None : Reason::UpstreamError, replied->result, replied->runTime, actions);
    } else if (const auto *broke = std::get_if<UpstreamBroke>(&event)) {
        finish(broke->task, broke->reason, TaskResult{}, broke->runTime, actions);
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_stopping = true;
    }
}

std::optional<Instant> ExecutorCore::nextWake() const
{
    return std::nullopt;
}

std::size_t ExecutorCore::running() const noexcept
{
    return m_running;
}

void ExecutorCore::start(NodeId home, const StartTask &message, std::vector<AgentAction> &actions)
{
    Epoch &knownEpoch = m_epochs[message.shard];
    const auto upstream = m_upstreams.find(message.shard.service);
    Reason refusal = Reason::None;
    if (message.epoch < knownEpoch) {
        refusal = Reason::NoView;
    } else if (m_stopping) {
        refusal = Reason::ShuttingDown;
    } else if (upstream == m_upstreams.end()) {
        refusal = Reason::NoWorker;
    } else if (m_running >= upstream->second.slots) {
        refusal = Reason::Overloaded;
    }
    if (refusal != Reason::None) {
        actions.emplace_back(SendMessage{ home, TaskRefused{ message.shard, message.epoch, message.task, refusal } });
        return;
    }
    knownEpoch = message.epoch;
    const bool isNew = m_tasks.emplace(message.task, StartedTask{ message.shard, message.epoch, home, std::nullopt }).second;
    if (!isNew) {
        return;
    }
    ++m_running;
    actions.emplace_back(CallUpstream{ message.task, message.shard.service, message.path, message.body, message.timeout });
}

void ExecutorCore::finish(const TaskId &task, Reason failure, const TaskResult &result, Duration runTime, std::vector<AgentAction> &actions)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end() || found->second.finished) {
        return;
    }
    --m_running;
    StartedTask &started = found->second;
    started.finished = TaskFinished{ started.shard, started.epoch, task, failure, result, runTime };
    actions.emplace_back(SendMessage{ started.home, *started.finished });
}

} // namespace lagoonroute
