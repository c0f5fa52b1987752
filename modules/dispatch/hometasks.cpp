#include "homeimplementation.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

constexpr Duration resendInterval = std::chrono::seconds(1);
constexpr Duration suspensionWhenOverloaded = std::chrono::milliseconds(20);
constexpr Duration suspensionWhenUnavailable = std::chrono::seconds(1);

/** Time after a job's deadline until which its tasks at an unknown worker are queried before they count as lost. */
constexpr Duration recoveryTimeout = std::chrono::seconds(5);

} // namespace

void HomeCore::Implementation::place(Instant now)
{
    const bool mayPlace = link.hasMirror() ? link.isSynchronised() : mayStart(now);
    if (!mayPlace) {
        return;
    }
    while (const auto placement = m_scheduler.nextPlacement(now)) {
        TaskRecord &task = jobs.at(placement->task.job).active->tasks.at(placement->task.index);
        const auto worker = m_workers.find(placement->worker);
        task.worker = placement->worker;
        task.incarnation = worker == m_workers.end() ? 0 : worker->second.incarnation;
        task.isAccounted = true;
        ++task.attempt;
        advance(task.state, TaskEvent::Place);
        m_tasksOfWorker[task.worker].insert(placement->task);
        const std::uint64_t record = link.append(Assignment{ placement->task, task.worker, task.incarnation, task.attempt });
        m_pendingStarts.push_back({ placement->task, task.attempt, record });
    }
}

void HomeCore::Implementation::releaseStarts(Instant now, Actions &actions)
{
    while (!m_pendingStarts.empty() && mayStart(now) && link.isAcknowledged(m_pendingStarts.front().record)) {
        const PendingStart pending = m_pendingStarts.front();
        m_pendingStarts.pop_front();
        const auto found = jobs.find(pending.task.job);
        if (found == jobs.end() || !found->second.active) {
            continue;
        }
        ActiveJob &job = *found->second.active;
        TaskRecord &task = job.tasks.at(pending.task.index);
        if (task.state != TaskState::Assigning || task.attempt != pending.attempt) {
            continue;
        }
        advance(job.state, JobEvent::Confirm);
        advance(task.state, TaskEvent::Confirm);
        sendStart(pending.task, job, task, now, actions);
    }
}

void HomeCore::Implementation::sendStart(const TaskId &id, const ActiveJob &job, const TaskRecord &task, Instant now, Actions &actions) const
{
    const TaskSpec &spec = job.content.tasks.at(id.index);
    const Duration remaining = job.deadline - now;
    actions.emplace_back(SendMessage{ task.worker,
                                      StartTask{ .shard = view.key,
                                                 .epoch = view.epoch,
                                                 .task = id,
                                                 .startWithin = remaining,
                                                 .timeout = remaining,
                                                 .path = m_rules.upstreamPath(),
                                                 .body = spec.body,
                                                 .need = spec.need,
                                                 .incarnation = task.incarnation,
                                                 .attempt = task.attempt } });
}

TaskRecord *HomeCore::Implementation::findTask(const TaskId &id, NodeId worker)
{
    const auto found = jobs.find(id.job);
    if (found == jobs.end() || !found->second.active || id.index >= found->second.active->tasks.size()) {
        return nullptr;
    }
    TaskRecord &task = found->second.active->tasks[id.index];
    const bool isAtWorker = task.worker == worker && !task.isSettled() && task.state != TaskState::Waiting;
    return isAtWorker ? &task : nullptr;
}

void HomeCore::Implementation::refuseTask(NodeId worker, const TaskRefused &message, Instant now)
{
    const TaskRecord *task = findTask(message.task, worker);
    if (task == nullptr || task->attempt != message.attempt || task->state == TaskState::Assigning) {
        return;
    }
    suspendWorker(worker, message.reason, now);
    handleNotStarted(message.task, now);
}

void HomeCore::Implementation::handleNotStarted(const TaskId &id, Instant now)
{
    JobRecord &record = jobs.at(id.job);
    ActiveJob &job = *record.active;
    TaskRecord &task = job.tasks[id.index];
    endAttempt(id, task, AttemptResult::RefusedNotStarted, Duration::zero(), now);
    advance(task.state, TaskEvent::NotStarted);
    if (task.state == TaskState::Waiting && job.failure != Reason::None) {
        advance(task.state, TaskEvent::Withdraw);
    }
    if (task.state == TaskState::Waiting) {
        m_scheduler.enqueue(demandOf(id.job, job, id.index), now);
        return;
    }
    --job.unsettled;
    answerIfSettled(id.job, record);
}

void HomeCore::Implementation::finishTask(NodeId worker, const TaskFinished &message, Instant now)
{
    const auto found = jobs.find(message.task.job);
    if (found == jobs.end() || !found->second.active) {
        m_messages.acknowledge(worker, message.task, now);
        return;
    }
    TaskRecord *task = findTask(message.task, worker);
    if (task == nullptr || task->state == TaskState::Assigning) {
        return;
    }
    const bool succeeded = message.failure == Reason::None;
    endAttempt(message.task, *task, succeeded ? AttemptResult::Succeeded : AttemptResult::FailedAtWorker, message.runTime, now);
    advance(task->state, TaskEvent::Finish);
    task->failure = message.failure;
    task->result = message.result;
    ActiveJob &job = *found->second.active;
    --job.unsettled;
    if (!succeeded) {
        withdrawRemaining(message.task.job, job, message.failure, false, now);
    }
    answerIfSettled(message.task.job, found->second);
}

void HomeCore::Implementation::handleWithdrawn(NodeId worker, const TasksWithdrawn &message, Instant now)
{
    for (const TaskId &id : message.withdrawn) {
        const TaskRecord *task = findTask(id, worker);
        if (task != nullptr && task->state == TaskState::Withdrawing) {
            handleNotStarted(id, now);
        }
    }
    for (const TaskId &id : message.started) {
        if (TaskRecord *task = findTask(id, worker)) {
            task->isKnownToRun = true;
        }
    }
}

void HomeCore::Implementation::handleRecovered(NodeId worker, const TasksRecovered &message, Instant now)
{
    if (message.epoch != view.epoch) {
        return;
    }
    for (const TaskId &id : message.running) {
        TaskRecord *task = findTask(id, worker);
        if (task == nullptr) {
            continue;
        }
        task->isKnownToRun = true;
        if (task->state == TaskState::Recovering) {
            advance(task->state, TaskEvent::Confirm);
            m_scheduler.adopt(demandOf(id.job, *jobs.at(id.job).active, id.index), worker, now);
            task->isAccounted = true;
        }
    }
    for (const TaskId &id : message.notStarted) {
        const TaskRecord *task = findTask(id, worker);
        if (task != nullptr && task->state == TaskState::Recovering) {
            handleNotStarted(id, now);
        }
    }
}

void HomeCore::Implementation::endAttempt(const TaskId &id, TaskRecord &task, AttemptResult result, Duration runTime, Instant now)
{
    if (task.isAccounted) {
        m_scheduler.attemptEnded(id, task.worker, result, runTime, now);
    }
    task.isAccounted = false;
    const auto found = m_tasksOfWorker.find(task.worker);
    if (found != m_tasksOfWorker.end()) {
        found->second.erase(id);
    }
}

void HomeCore::Implementation::changeWorker(const WorkerState &worker, Instant now)
{
    const auto known = m_workers.find(worker.node);
    if (known != m_workers.end() && known->second.incarnation > worker.incarnation) {
        return;
    }
    if (worker.incarnation > 0) {
        loseWorker(worker.node, worker.incarnation - 1, now);
    }
    m_workers.insert_or_assign(worker.node, worker);
    m_suspended.erase(worker.node);
    m_scheduler.updateWorker(worker);
}

void HomeCore::Implementation::loseWorker(NodeId node, Incarnation incarnation, Instant now)
{
    const auto tasks = m_tasksOfWorker.find(node);
    if (tasks != m_tasksOfWorker.end()) {
        const std::vector<TaskId> ids(tasks->second.begin(), tasks->second.end());
        for (const TaskId &id : ids) {
            const TaskRecord *task = findTask(id, node);
            if (task != nullptr && task->incarnation <= incarnation) {
                loseTask(id, now);
            }
        }
    }
    const auto known = m_workers.find(node);
    if (known != m_workers.end() && known->second.incarnation <= incarnation) {
        m_scheduler.removeWorker(node);
        m_workers.erase(known);
        m_suspended.erase(node);
    }
}

void HomeCore::Implementation::loseTask(const TaskId &id, Instant now)
{
    JobRecord &record = jobs.at(id.job);
    ActiveJob &job = *record.active;
    TaskRecord &task = job.tasks[id.index];
    if (task.state == TaskState::Assigning) {
        handleNotStarted(id, now);
        return;
    }
    endAttempt(id, task, AttemptResult::FailedAtWorker, Duration::zero(), now);
    advance(task.state, TaskEvent::Finish);
    task.failure = Reason::WorkerLost;
    --job.unsettled;
    withdrawRemaining(id.job, job, Reason::WorkerLost, false, now);
    answerIfSettled(id.job, record);
}

void HomeCore::Implementation::suspendWorker(NodeId worker, Reason reason, Instant now)
{
    const auto known = m_workers.find(worker);
    if (known == m_workers.end()) {
        return;
    }
    m_suspended[worker] = now + (reason == Reason::Overloaded ? suspensionWhenOverloaded : suspensionWhenUnavailable);
    WorkerState state = known->second;
    state.leaving = true;
    m_scheduler.updateWorker(state);
}

void HomeCore::Implementation::resumeWorkers(Instant now)
{
    for (auto suspended = m_suspended.begin(); suspended != m_suspended.end();) {
        if (suspended->second > now) {
            ++suspended;
            continue;
        }
        m_scheduler.updateWorker(m_workers.at(suspended->first));
        suspended = m_suspended.erase(suspended);
    }
}

void HomeCore::Implementation::resendToWorker(NodeId worker, bool withStarts, Instant now, Actions &actions)
{
    const auto tasks = m_tasksOfWorker.find(worker);
    if (tasks == m_tasksOfWorker.end()) {
        return;
    }
    for (const TaskId &id : tasks->second) {
        const ActiveJob &job = *jobs.at(id.job).active;
        const TaskRecord &task = job.tasks[id.index];
        if (task.state == TaskState::Recovering) {
            m_messages.recover(worker, task.incarnation, id);
            scheduleResend(now);
        } else if (task.state == TaskState::Withdrawing && !task.isKnownToRun) {
            m_messages.withdraw(worker, task.incarnation, id, job.failure == Reason::Cancelled || job.failure == Reason::DeadlineTooShort);
            scheduleResend(now);
        } else if (task.state == TaskState::Sent && withStarts && !task.isKnownToRun && mayStart(now)) {
            sendStart(id, job, task, now, actions);
        }
    }
}

void HomeCore::Implementation::resendQueries(Instant now, Actions &actions)
{
    m_resendAt.reset();
    std::vector<TaskId> abandoned;
    for (const auto &[worker, tasks] : m_tasksOfWorker) {
        resendToWorker(worker, false, now, actions);
        if (m_workers.count(worker) > 0) {
            continue;
        }
        std::copy_if(tasks.begin(), tasks.end(), std::back_inserter(abandoned), [this, now](const TaskId &id) {
            return jobs.at(id.job).active->deadline + recoveryTimeout <= now;
        });
    }
    for (const TaskId &id : abandoned) {
        if (!jobs.at(id.job).active->tasks[id.index].isSettled()) {
            loseTask(id, now);
        }
    }
}

void HomeCore::Implementation::scheduleResend(Instant now)
{
    if (!m_resendAt) {
        m_resendAt = now + resendInterval;
    }
}

TaskDemand HomeCore::Implementation::demandOf(const JobId &id, const ActiveJob &job, TaskIndex index)
{
    const TaskSpec &spec = job.content.tasks.at(index);
    return TaskDemand{ .task = { id, index },
                       .caller = job.content.caller,
                       .need = spec.need,
                       .declaredRunTime = spec.declaredRunTime,
                       .startBy = job.deadline,
                       .jobSize = static_cast<std::uint16_t>(job.tasks.size()) };
}

} // namespace lagoonroute
