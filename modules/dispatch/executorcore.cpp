#include <lagoonroute/dispatch/executorcore.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Time within which every late copy of a start order has arrived or been dropped with its connection. */
constexpr Duration closedTaskRetention = std::chrono::minutes(5);
constexpr std::size_t maxClosedTasks = 500'000;
constexpr std::size_t maxResultBytes = 32U << 20U;
constexpr std::uint32_t defaultQueueDepth = 1;
constexpr Duration maxResendDelay = std::chrono::seconds(60);

/** Time after a task's timeout for the upstream adapter to report it, before the executor abandons the call. */
constexpr Duration timeoutMargin = std::chrono::seconds(1);

constexpr std::uint32_t allAttempts = std::numeric_limits<std::uint32_t>::max();

} // namespace

ExecutorCore::ExecutorCore(NodeId self, Incarnation incarnation)
    : m_self(self)
    , m_incarnation(incarnation)
{
}

void ExecutorCore::handle(const AgentEvent &event, Instant now, Actions &actions)
{
    handleTimers(now, actions);
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        receive(received->from, received->message, now, actions);
    } else if (const auto *announced = std::get_if<UpstreamAnnounced>(&event)) {
        Upstream &upstream = m_upstreams[announced->service];
        upstream.offer = *announced;
        upstream.isPresent = true;
        startQueued(upstream, now, actions);
    } else if (const auto *withdrawn = std::get_if<UpstreamWithdrawn>(&event)) {
        withdrawUpstream(withdrawn->service, now, actions);
    } else if (const auto *replied = std::get_if<UpstreamReplied>(&event)) {
        const bool succeeded = replied->result.status >= 200 && replied->result.status < 300;
        finish(replied->task, succeeded ? Reason::None : Reason::UpstreamError, replied->result, replied->runTime, now, actions);
    } else if (const auto *broke = std::get_if<UpstreamCallBroken>(&event)) {
        handleBrokenCall(*broke, now, actions);
    } else if (const auto *view = std::get_if<ViewChanged>(&event)) {
        changeView(view->view, actions);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_queueDepths[rules->rules.name()] = rules->rules.executorQueueDepth();
    } else if (const auto *lost = std::get_if<ConnectionLost>(&event)) {
        loseConnection(lost->peer, now);
    } else if (std::holds_alternative<StopRequested>(event)) {
        stop(now, actions);
    }
}

void ExecutorCore::receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions)
{
    if (const auto *startTask = std::get_if<StartTask>(&message)) {
        start(from, *startTask, now, actions);
    } else if (const auto *acknowledged = std::get_if<AcknowledgeResults>(&message)) {
        acknowledge(*acknowledged, now);
    } else if (const auto *withdrawal = std::get_if<WithdrawTasks>(&message)) {
        withdraw(from, *withdrawal, now, actions);
    } else if (const auto *query = std::get_if<RecoverTasks>(&message)) {
        recover(from, *query, now, actions);
    }
}

std::optional<Instant> ExecutorCore::nextWake() const
{
    return m_due.empty() ? std::nullopt : std::optional(m_due.begin()->first);
}

void ExecutorCore::start(NodeId home, const StartTask &message, Instant now, Actions &actions)
{
    // Another incarnation of this agent may have started the task, so a refusal would not prove that it did not run.
    if (!isForThisIncarnation(message.incarnation)) {
        return;
    }
    if (!acceptEpoch(message.shard, message.epoch, home)) {
        actions.emplace_back(SendMessage{ home, TaskRefused{ message.shard, message.epoch, message.task, Reason::NoView, message.attempt } });
        return;
    }
    const auto known = m_tasks.find(message.task);
    if (known != m_tasks.end()) {
        if (known->second.finished) {
            sendResult(known->second, actions);
        }
        return;
    }
    const auto closed = m_closed.find(message.task);
    if (closed != m_closed.end() && closed->second.started) {
        return;
    }
    if (closed != m_closed.end() && std::pair(message.epoch, message.attempt) <= closed->second.attempt) {
        refuse(message, home, Reason::Cancelled, now, actions);
        return;
    }
    const Reason reason = refusalOf(message);
    if (reason != Reason::None) {
        refuse(message, home, reason, now, actions);
        return;
    }
    Task &task = m_tasks.emplace(message.task, Task{ .start = message }).first->second;
    Upstream &upstream = m_upstreams.at(message.shard.service);
    if (upstream.queue.empty() && hasFreeCapacity(upstream, message.need)) {
        startRun(task, now, actions);
        return;
    }
    upstream.queue.push_back(message.task);
    setDue(task, now + message.startWithin);
}

Reason ExecutorCore::refusalOf(const StartTask &message) const
{
    if (m_stopping) {
        return Reason::ShuttingDown;
    }
    const auto upstream = m_upstreams.find(message.shard.service);
    if (upstream == m_upstreams.end() || !upstream->second.isPresent) {
        return Reason::NoWorker;
    }
    const Resources &capacity = upstream->second.offer.capacity;
    if (capacity != Resources{} && !message.need.fitsInto(capacity)) {
        return Reason::NeverRunnable;
    }
    if (message.startWithin <= Duration::zero()) {
        return Reason::DeadlineTooShort;
    }
    if (m_closed.size() >= maxClosedTasks || m_resultBytes >= maxResultBytes) {
        return Reason::Overloaded;
    }
    const auto depth = m_queueDepths.find(message.shard.service);
    const std::size_t queueDepth = depth == m_queueDepths.end() ? defaultQueueDepth : depth->second;
    const bool startsNow = upstream->second.queue.empty() && hasFreeCapacity(upstream->second, message.need);
    return startsNow || upstream->second.queue.size() < queueDepth ? Reason::None : Reason::Overloaded;
}

bool ExecutorCore::hasFreeCapacity(const Upstream &upstream, const Resources &need) const
{
    const std::size_t slots = std::min(upstream.offer.slots, upstream.offer.connections);
    const Resources &capacity = upstream.offer.capacity;
    return upstream.isPresent && !m_stopping && upstream.running < slots && (capacity == Resources{} || (upstream.used + need).fitsInto(capacity));
}

bool ExecutorCore::isForThisIncarnation(Incarnation incarnation) const noexcept
{
    return incarnation == 0 || m_incarnation == 0 || incarnation == m_incarnation;
}

bool ExecutorCore::acceptEpoch(const ShardKey &shard, Epoch epoch, NodeId home)
{
    KnownHome &known = m_homes[shard];
    if (epoch < known.epoch) {
        return false;
    }
    known = KnownHome{ epoch, home };
    return true;
}

void ExecutorCore::startRun(Task &task, Instant now, Actions &actions)
{
    Upstream &upstream = m_upstreams.at(task.start.shard.service);
    task.phase = Phase::Running;
    ++m_running;
    ++upstream.running;
    upstream.used = upstream.used + task.start.need;
    setDue(task, now + task.start.timeout + timeoutMargin);
    actions.emplace_back(CallUpstream{ task.start.task, task.start.shard.service, task.start.path, std::exchange(task.start.body, {}), task.start.timeout });
}

void ExecutorCore::startQueued(Upstream &upstream, Instant now, Actions &actions)
{
    while (!upstream.queue.empty()) {
        Task &task = m_tasks.at(upstream.queue.front());
        if (!hasFreeCapacity(upstream, task.start.need)) {
            return;
        }
        upstream.queue.pop_front();
        startRun(task, now, actions);
    }
}

void ExecutorCore::refuse(const StartTask &message, NodeId to, Reason reason, Instant now, Actions &actions)
{
    close(message.task, { message.epoch, message.attempt }, false, now);
    actions.emplace_back(SendMessage{ to, TaskRefused{ message.shard, message.epoch, message.task, reason, message.attempt } });
}

void ExecutorCore::refuseQueue(Upstream &upstream, Reason reason, Instant now, Actions &actions)
{
    for (const TaskId &id : std::exchange(upstream.queue, {})) {
        const StartTask &message = m_tasks.at(id).start;
        refuse(message, m_homes.at(message.shard).node, reason, now, actions);
        erase(id);
    }
}

void ExecutorCore::withdraw(NodeId home, const WithdrawTasks &message, Instant now, Actions &actions)
{
    if (!isForThisIncarnation(message.incarnation) || !acceptEpoch(message.shard, message.epoch, home)) {
        return;
    }
    TasksWithdrawn answer{ .shard = message.shard, .epoch = message.epoch };
    for (const TaskId &id : message.tasks) {
        const auto found = m_tasks.find(id);
        const auto closed = m_closed.find(id);
        const bool isClosedAfterStart = closed != m_closed.end() && closed->second.started;
        if (isClosedAfterStart) {
            answer.started.push_back(id);
        } else if (found == m_tasks.end() || found->second.phase == Phase::Queued) {
            removeFromQueue(id);
            close(id, { message.epoch, allAttempts }, false, now);
            answer.withdrawn.push_back(id);
        } else {
            answer.started.push_back(id);
            if (found->second.finished) {
                sendResult(found->second, actions);
            } else if (message.stopStarted) {
                actions.emplace_back(StopUpstreamTask{ id, message.shard.service, found->second.start.path });
            }
        }
    }
    actions.emplace_back(SendMessage{ home, std::move(answer) });
}

void ExecutorCore::recover(NodeId home, const RecoverTasks &message, Instant now, Actions &actions)
{
    if (!isForThisIncarnation(message.incarnation) || !acceptEpoch(message.shard, message.epoch, home)) {
        return;
    }
    TasksRecovered answer{ .shard = message.shard, .epoch = message.epoch };
    for (const TaskId &id : message.tasks) {
        const auto found = m_tasks.find(id);
        const auto closed = m_closed.find(id);
        if (found != m_tasks.end() && found->second.phase != Phase::Queued) {
            answer.running.push_back(id);
            if (found->second.finished) {
                sendResult(found->second, actions);
            }
        } else if (closed != m_closed.end() && closed->second.started) {
            // The result was acknowledged and dropped: the querying home should already have the answer.
            actions.emplace_back(SendMessage{ home, TaskFinished{ message.shard, message.epoch, id, Reason::HomeLost } });
        } else {
            removeFromQueue(id);
            close(id, { message.epoch, 0 }, false, now);
            answer.notStarted.push_back(id);
        }
    }
    actions.emplace_back(SendMessage{ home, std::move(answer) });
}

void ExecutorCore::changeView(const ShardView &view, Actions &actions)
{
    KnownHome &known = m_homes[view.key];
    if (view.epoch < known.epoch || view.home == known.node) {
        known.epoch = std::max(known.epoch, view.epoch);
        return;
    }
    known = KnownHome{ view.epoch, view.home };
    for (const TaskId &id : m_unacknowledged) {
        const Task &task = m_tasks.at(id);
        if (task.start.shard == view.key) {
            sendResult(task, actions);
        }
    }
}

void ExecutorCore::withdrawUpstream(const std::string &service, Instant now, Actions &actions)
{
    const auto found = m_upstreams.find(service);
    if (found == m_upstreams.end()) {
        return;
    }
    found->second.isPresent = false;
    refuseQueue(found->second, Reason::NoWorker, now, actions);
}

void ExecutorCore::stop(Instant now, Actions &actions)
{
    m_stopping = true;
    for (auto &[service, upstream] : m_upstreams) {
        refuseQueue(upstream, Reason::ShuttingDown, now, actions);
    }
}

void ExecutorCore::handleTimers(Instant now, Actions &actions)
{
    while (!m_closedOrder.empty() && m_closedOrder.front().first <= now) {
        const auto closed = m_closed.find(m_closedOrder.front().second);
        if (closed != m_closed.end() && closed->second.until <= now) {
            m_closed.erase(closed);
        }
        m_closedOrder.pop_front();
    }
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const TaskId id = m_due.begin()->second;
        Task &task = m_tasks.at(id);
        if (task.phase == Phase::Running) {
            actions.emplace_back(StopUpstreamTask{ id, task.start.shard.service, task.start.path });
            finish(id, Reason::UpstreamTimeout, TaskResult{}, task.start.timeout, now, actions);
        } else if (task.phase == Phase::Finished) {
            task.resendDelay = std::min(task.resendDelay * 2, maxResendDelay);
            setDue(task, now + task.resendDelay);
            sendResult(task, actions);
        } else {
            const StartTask message = task.start;
            removeFromQueue(id);
            refuse(message, m_homes.at(message.shard).node, Reason::DeadlineTooShort, now, actions);
        }
    }
}

void ExecutorCore::setDue(Task &task, Instant due)
{
    m_due.erase({ task.due, task.start.task });
    task.due = due;
    m_due.emplace(due, task.start.task);
}

void ExecutorCore::close(const TaskId &id, std::pair<Epoch, std::uint32_t> attempt, bool started, Instant now)
{
    ClosedTask &closed = m_closed[id];
    closed.attempt = std::max(closed.attempt, attempt);
    closed.started = closed.started || started;
    closed.until = now + closedTaskRetention;
    m_closedOrder.emplace_back(closed.until, id);
}

void ExecutorCore::removeFromQueue(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end()) {
        return;
    }
    std::deque<TaskId> &queue = m_upstreams.at(found->second.start.shard.service).queue;
    queue.erase(std::remove(queue.begin(), queue.end(), id), queue.end());
    erase(id);
}

void ExecutorCore::erase(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    m_due.erase({ found->second.due, id });
    m_tasks.erase(found);
}

} // namespace lagoonroute
