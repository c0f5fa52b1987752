#include <lagoonroute/dispatch/homecore.h>

#include <utility>

namespace lagoonroute
{

HomeCore::HomeCore(NodeId self, ShardView view, ServiceRules rules, std::uint64_t seed)
    : m_self(self)
    , m_view(std::move(view))
    , m_rules(rules)
    , m_scheduler(std::move(rules), seed)
{
}

void HomeCore::handle(const AgentEvent &event, Instant now, Actions &actions)
{
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        receive(received->from, received->message, now, actions);
    } else if (const auto *changed = std::get_if<WorkerChanged>(&event)) {
        m_scheduler.updateWorker(changed->worker);
    } else if (const auto *gone = std::get_if<WorkerGone>(&event)) {
        m_scheduler.removeWorker(gone->node);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_rules = rules->rules;
        m_scheduler.setRules(rules->rules);
    }
    expire(now, actions);
    placeWaiting(now, actions);
}

std::optional<Instant> HomeCore::nextWake() const
{
    return m_scheduler.nextWake();
}

void HomeCore::receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions)
{
    if (const auto *submitted = std::get_if<SubmitJob>(&message)) {
        submit(*submitted, now, actions);
    } else if (const auto *finished = std::get_if<TaskFinished>(&message)) {
        finishTask(from, *finished, now, actions);
    } else if (const auto *refused = std::get_if<TaskRefused>(&message)) {
        refuseTask(from, *refused, now);
    }
}

void HomeCore::submit(const SubmitJob &message, Instant now, Actions &actions)
{
    const auto reply = [&](const JobAnswer &answer) {
        actions.emplace_back(SendMessage{ message.request.entry, AnswerRequest{ message.request, message.job, answer } });
    };
    const auto found = m_jobs.find(message.job);
    if (found != m_jobs.end()) {
        JobRecord &job = found->second;
        if (job.content.bodyDigest != message.content.bodyDigest) {
            reply(JobAnswer::notRun(Reason::KeyReused, "the submission key was used before with another body"));
        } else if (job.answer) {
            reply(*job.answer);
        } else {
            job.waiting.push_back(message.request);
        }
        return;
    }

    JobRecord job{ .content = message.content, .deadline = now + message.content.timeRemaining };
    job.tasks.resize(message.content.tasks.size());
    job.unsettled = job.tasks.size();
    job.waiting.push_back(message.request);
    std::vector<TaskDemand> demands;
    for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
        demands.push_back(demandOf(message.job, job, index));
    }
    if (const auto refusal = m_scheduler.admit(demands, now)) {
        reply(JobAnswer::notRun(refusal->reason, refusal->detail, refusal->retryAfter));
        return;
    }
    m_jobs.emplace(message.job, std::move(job));
    for (TaskDemand &demand : demands) {
        m_scheduler.enqueue(std::move(demand), now);
    }
}

void HomeCore::refuseTask(NodeId worker, const TaskRefused &message, Instant now)
{
    const auto found = m_jobs.find(message.task.job);
    if (found == m_jobs.end() || message.task.index >= found->second.tasks.size()) {
        return;
    }
    TaskRecord &task = found->second.tasks[message.task.index];
    if (task.settled || task.worker != worker) {
        return;
    }
    task.worker = NodeId{};
    m_scheduler.attemptEnded(message.task, worker, AttemptResult::RefusedNotStarted, Duration{ 0 }, now);
    m_scheduler.enqueue(demandOf(message.task.job, found->second, message.task.index), now);
}

void HomeCore::finishTask(NodeId worker, const TaskFinished &message, Instant now, Actions &actions)
{
    actions.emplace_back(SendMessage{ worker, AcknowledgeResults{ m_view.key, { message.task } } });
    const auto found = m_jobs.find(message.task.job);
    if (found == m_jobs.end() || message.task.index >= found->second.tasks.size()) {
        return;
    }
    JobRecord &job = found->second;
    TaskRecord &task = job.tasks[message.task.index];
    if (task.settled || task.worker != worker) {
        return;
    }
    const bool succeeded = message.failure == Reason::None;
    m_scheduler.attemptEnded(message.task, worker, succeeded ? AttemptResult::Succeeded : AttemptResult::FailedAtWorker, message.runTime, now);
    task.settled = true;
    task.started = true;
    task.failure = message.failure;
    task.result = message.result;
    --job.unsettled;
    settle(found->first, job, actions);
}

void HomeCore::placeWaiting(Instant now, Actions &actions)
{
    while (const auto placement = m_scheduler.nextPlacement(now)) {
        JobRecord &job = m_jobs.at(placement->task.job);
        job.tasks[placement->task.index].worker = placement->worker;
        const Duration remaining = job.deadline - now;
        actions.emplace_back(SendMessage{ placement->worker,
                                          StartTask{ .shard = m_view.key,
                                                     .epoch = m_view.epoch,
                                                     .task = placement->task,
                                                     .startWithin = remaining,
                                                     .timeout = remaining,
                                                     .path = m_rules.upstreamPath(),
                                                     .body = job.content.tasks[placement->task.index].body,
                                                     .need = job.content.tasks[placement->task.index].need } });
    }
}

void HomeCore::expire(Instant now, Actions &actions)
{
    for (const TaskId &id : m_scheduler.takeExpired(now)) {
        JobRecord &job = m_jobs.at(id.job);
        TaskRecord &task = job.tasks[id.index];
        task.settled = true;
        task.failure = Reason::DeadlineTooShort;
        --job.unsettled;
        settle(id.job, job, actions);
    }
}

void HomeCore::settle(const JobId &id, JobRecord &job, Actions &actions)
{
    if (job.unsettled > 0 || job.answer) {
        return;
    }
    JobAnswer result{ .outcome = Outcome::Complete };
    for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
        const TaskRecord &task = job.tasks[index];
        if (task.failure != Reason::None && result.reason == Reason::None) {
            result.reason = task.failure;
        }
        if (task.started) {
            result.started.push_back(index);
        }
        result.results.push_back(task.result);
    }
    if (result.reason != Reason::None) {
        result.outcome = result.started.empty() ? Outcome::NotRun : Outcome::Failed;
        result.results.clear();
    } else {
        result.started.clear();
    }
    answer(id, job, std::move(result), actions);
}

void HomeCore::answer(const JobId &id, JobRecord &job, JobAnswer answer, Actions &actions)
{
    for (const RequestId &request : job.waiting) {
        actions.emplace_back(SendMessage{ request.entry, AnswerRequest{ request, id, answer } });
    }
    job.waiting.clear();
    job.answer = std::move(answer);
}

TaskDemand HomeCore::demandOf(const JobId &id, const JobRecord &job, TaskIndex index) const
{
    const TaskSpec &spec = job.content.tasks[index];
    return TaskDemand{
        .task = { id, index }, .caller = job.content.caller, .need = spec.need, .declaredRunTime = spec.declaredRunTime, .startBy = job.deadline
    };
}

} // namespace lagoonroute
