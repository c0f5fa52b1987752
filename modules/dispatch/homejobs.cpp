#include "homeimplementation.h"

#include <algorithm>
#include <numeric>

namespace lagoonroute
{

namespace
{

/** Tolerated difference between a caller's clock and this host's, for the timestamp in a submission key. */
constexpr Duration clockTolerance = std::chrono::minutes(5);
constexpr Duration retryDelay = std::chrono::seconds(1);
constexpr std::size_t maxWaitingPerJob = 1024;

/** Returns a failed answer that lists every task as possibly run. */
JobAnswer possiblyRunAnswer(Reason reason, std::string detail, std::size_t tasks)
{
    JobAnswer answer{ .outcome = Outcome::Failed, .reason = reason, .detail = std::move(detail) };
    answer.started.resize(tasks);
    std::iota(answer.started.begin(), answer.started.end(), TaskIndex{ 0 });
    return answer;
}

JobAnswer recordsLostAnswer(std::size_t tasks)
{
    return possiblyRunAnswer(Reason::HomeLost, "the records of this shard were lost; the job may have run before", tasks);
}

/** Builds the answer of a job whose tasks are all settled. */
JobAnswer collectAnswer(ActiveJob &job)
{
    JobAnswer answer{ .outcome = Outcome::Complete };
    for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
        TaskRecord &task = job.tasks[index];
        if (task.state == TaskState::Finished) {
            answer.started.push_back(index);
        }
        if (task.state != TaskState::Finished || task.failure != Reason::None) {
            answer.outcome = Outcome::Failed;
        }
    }
    if (answer.started.empty()) {
        return JobAnswer::notRun(job.failure, "no task of the job has started");
    }
    if (answer.outcome == Outcome::Failed) {
        answer.reason = job.failure;
        answer.detail = "not every task succeeded; tasks that had not started were withdrawn";
        return answer;
    }
    answer.started.clear();
    for (TaskRecord &task : job.tasks) {
        answer.results.push_back(std::move(task.result));
    }
    return answer;
}

} // namespace

void HomeCore::Implementation::submit(const SubmitJob &message, Instant now, Actions &actions)
{
    if (const JobAnswer *refusal = m_refusals.find(message.request)) {
        reply(message.request, message.job, *refusal, actions);
        return;
    }
    const auto found = jobs.find(message.job);
    if (found == jobs.end()) {
        admit(message, now, actions);
        return;
    }
    JobRecord &record = found->second;
    if (record.bodyDigest != Digest{} && record.bodyDigest != message.content.bodyDigest) {
        reply(message.request, message.job, JobAnswer::notRun(Reason::KeyReused, "the submission key was used before with another body"), actions);
        return;
    }
    attach(record, message.job, message.request, actions);
}

void HomeCore::Implementation::admit(const SubmitJob &message, Instant now, Actions &actions)
{
    const JobRequest &content = message.content;
    if (link.isRefused()) {
        actions.emplace_back(SendMessage{ message.request.entry, RedirectRequest{ message.request, view.key, std::nullopt } });
        return;
    }
    const auto refuseWith = [&](const JobAnswer &answer) { refuse(message.request, message.job, answer, now, actions); };
    if (const auto refusal = keyRefusal(content, now)) {
        refuseWith(*refusal);
        return;
    }
    if (content.tasks.empty() || content.tasks.size() > maxTasksPerJob) {
        refuseWith(JobAnswer::notRun(
            Reason::InvalidRequest, "the job has " + std::to_string(content.tasks.size()) + " tasks; 1 to " + std::to_string(maxTasksPerJob) + " are allowed"));
        return;
    }
    if (content.timeRemaining <= Duration::zero()) {
        refuseWith(JobAnswer::notRun(Reason::DeadlineTooShort, "the deadline has passed"));
        return;
    }
    if (m_stopping && !link.hasMirror()) {
        refuseWith(JobAnswer::notRun(Reason::ShuttingDown, "the shard's home is stopping and has no mirror to take over", retryDelay));
        return;
    }
    if (!maySubmit(now)) {
        refuseWith(JobAnswer::notRun(Reason::NoView, "the shard has no mirror and the platform's store does not confirm its home", retryDelay));
        return;
    }
    const std::size_t bytes = contentBytes(content);
    if (isFull(bytes)) {
        refuseWith(JobAnswer::notRun(Reason::Overloaded, "the home's memory for records is full", retryDelay));
        return;
    }

    auto active = std::make_unique<ActiveJob>();
    active->content = content;
    active->deadline = now + content.timeRemaining;
    active->contentBytes = bytes;
    active->tasks.resize(content.tasks.size());
    active->unsettled = content.tasks.size();
    active->waiting.push_back(message.request);
    std::vector<TaskDemand> demands;
    demands.reserve(content.tasks.size());
    for (TaskIndex index = 0; index < content.tasks.size(); ++index) {
        demands.push_back(demandOf(message.job, *active, index));
    }
    if (const auto refusal = m_scheduler.admit(demands, now)) {
        refuseWith(JobAnswer::notRun(refusal->reason, refusal->detail, refusal->retryAfter));
        return;
    }
    m_bytes += bytes;
    ++unanswered;
    m_deadlines.emplace(active->deadline, message.job);
    jobs.emplace(message.job, JobRecord{ .bodyDigest = content.bodyDigest, .active = std::move(active) });
    link.append(JobRecorded{ message.job, content });
    for (TaskDemand &demand : demands) {
        m_scheduler.enqueue(std::move(demand), now);
    }
}

std::optional<JobAnswer> HomeCore::Implementation::keyRefusal(const JobRequest &content, Instant now) const
{
    std::optional<Instant> keyCreatedAt;
    if (content.keyTime && m_wallOffset) {
        keyCreatedAt = Instant(std::chrono::duration_cast<Duration>(content.keyTime->time_since_epoch()) - *m_wallOffset);
    }
    if (keyCreatedAt && *keyCreatedAt > now + clockTolerance) {
        return JobAnswer::notRun(Reason::InvalidRequest, "the timestamp in the submission key is in the future");
    }
    if (keyCreatedAt && *keyCreatedAt + m_rules.retention() < now) {
        return possiblyRunAnswer(
            Reason::KeyExpired, "the submission key is older than the retention window; the job may have run before", content.tasks.size());
    }
    const bool isKeyNewerThanLoss = keyCreatedAt && m_recordsLostAt && *keyCreatedAt > *m_recordsLostAt + clockTolerance;
    if (recordsMayBeLost(now) && !isKeyNewerThanLoss) {
        return recordsLostAnswer(content.tasks.size());
    }
    return std::nullopt;
}

bool HomeCore::Implementation::recordsMayBeLost(Instant now) const
{
    return m_recordsLostAt && now < *m_recordsLostAt + m_rules.retention() + clockTolerance;
}

bool HomeCore::Implementation::isFull(std::size_t bytes) const
{
    return jobs.size() >= limits.records || m_bytes + bytes > limits.bytes;
}

void HomeCore::Implementation::lookUp(const LookUpJob &message, Instant now, Actions &actions)
{
    const auto found = jobs.find(message.job);
    if (found != jobs.end()) {
        attach(found->second, message.job, message.request, actions);
        return;
    }
    if (recordsMayBeLost(now)) {
        reply(message.request, message.job, recordsLostAnswer(0), actions);
        return;
    }
    const std::string detail = "no record under this key; the submission never arrived, or its retention window has passed";
    reply(message.request, message.job, possiblyRunAnswer(Reason::UnknownJob, detail, 0), actions);
}

void HomeCore::Implementation::cancel(const CancelJob &message, Instant now, Actions &actions)
{
    auto found = jobs.find(message.job);
    if (found == jobs.end()) {
        if (recordsMayBeLost(now)) {
            reply(message.request, message.job, recordsLostAnswer(0), actions);
            return;
        }
        if (isFull(0)) {
            reply(
                message.request, message.job, possiblyRunAnswer(Reason::Overloaded, "the home's memory is full; the cancellation is not recorded", 0), actions);
            return;
        }
        // The cancellation is recorded so that a submission arriving later under this key is cancelled, too.
        JobRecord cancelled{ .active = std::make_unique<ActiveJob>() };
        ++unanswered;
        found = jobs.emplace(message.job, std::move(cancelled)).first;
    }
    JobRecord &record = found->second;
    attach(record, message.job, message.request, actions);
    if (record.answer) {
        return;
    }
    withdrawRemaining(message.job, *record.active, Reason::Cancelled, true, now);
    answerIfSettled(message.job, record);
}

void HomeCore::Implementation::attach(JobRecord &record, const JobId &id, const RequestId &request, Actions &actions) const
{
    if (record.answer && mayReplyWithAnswer(record)) {
        reply(request, id, *record.answer, actions);
        return;
    }
    std::vector<RequestId> &waiting = record.active->waiting;
    const bool isKnown = std::find(waiting.begin(), waiting.end(), request) != waiting.end();
    // Beyond the bound the request is not attached: the entry resends it later and then receives the answer.
    if (!isKnown && waiting.size() < maxWaitingPerJob) {
        waiting.push_back(request);
    }
}

void HomeCore::Implementation::refuse(const RequestId &request, const JobId &id, const JobAnswer &answer, Instant now, Actions &actions)
{
    if (m_refusals.add(request, answer, now)) {
        reply(request, id, answer, actions);
    }
}

void HomeCore::Implementation::reply(const RequestId &request, const JobId &id, const JobAnswer &answer, Actions &actions) const
{
    actions.emplace_back(SendMessage{ request.entry, AnswerRequest{ request, id, answer, view.epoch } });
}

void HomeCore::Implementation::withdrawRemaining(const JobId &id, ActiveJob &job, Reason reason, bool stopStarted, Instant now)
{
    if (job.state == JobState::Answered) {
        return;
    }
    advance(job.state, JobEvent::Cancel);
    job.failure = job.failure == Reason::None ? reason : job.failure;
    for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
        const TaskId taskId{ id, index };
        TaskRecord &task = job.tasks[index];
        const bool isAtWorker = task.state == TaskState::Sent || task.state == TaskState::Recovering || task.state == TaskState::Withdrawing;
        if (task.isSettled() || (isAtWorker && task.isKnownToRun && !stopStarted)) {
            continue;
        }
        if (task.state == TaskState::Waiting) {
            m_scheduler.remove(taskId);
        } else if (task.state == TaskState::Assigning) {
            endAttempt(taskId, task, AttemptResult::RefusedNotStarted, Duration::zero(), now);
        } else {
            m_messages.withdraw(task.worker, task.incarnation, taskId, stopStarted);
            scheduleResend(now);
        }
        advance(task.state, TaskEvent::Withdraw);
        job.unsettled -= task.isSettled() ? 1 : 0;
    }
}

void HomeCore::Implementation::answerIfSettled(const JobId &id, JobRecord &record)
{
    if (record.active->unsettled == 0 && record.active->state != JobState::Answered) {
        answer(id, record, collectAnswer(*record.active));
    }
}

void HomeCore::Implementation::answer(const JobId &id, JobRecord &record, JobAnswer answer)
{
    ActiveJob &job = *record.active;
    advance(job.state, JobEvent::Answer);
    m_deadlines.erase({ job.deadline, id });
    m_bytes += answerBytes(answer);
    m_bytes -= job.contentBytes;
    job.content.tasks = {};
    const std::uint64_t number = link.append(AnswerRecorded{ id, answer });
    record.answer = std::make_unique<JobAnswer>(std::move(answer));
    if (record.answer->outcome == Outcome::Complete) {
        m_completed.push_back(id);
    }
    m_pendingAnswers.push_back({ id, number });
}

bool HomeCore::Implementation::mayReplyWithAnswer(const JobRecord &record) const
{
    // A complete answer stays the same after a change of home, because the workers retain the results until it is
    // recorded. Any other answer could differ at the next home, so it waits for the mirror. After a pause of this home,
    // a complete answer waits as well: the next home may have treated a worker as lost that was still running.
    const bool isRecorded = !record.active;
    return isRecorded || (record.answer->outcome == Outcome::Complete && isEpochConfirmed());
}

bool HomeCore::Implementation::isEpochConfirmed() const
{
    return !link.isRefused() && (m_probe == 0 || link.isAcknowledged(m_probe));
}

void HomeCore::Implementation::replyToWaiting(const JobId &id, JobRecord &record, Actions &actions) const
{
    for (const RequestId &request : record.active->waiting) {
        reply(request, id, *record.answer, actions);
    }
    record.active->waiting.clear();
}

void HomeCore::Implementation::releaseAnswers(Instant now, Actions &actions)
{
    for (const JobId &id : std::exchange(m_completed, {})) {
        JobRecord &record = jobs.at(id);
        if (mayReplyWithAnswer(record)) {
            replyToWaiting(id, record, actions);
        }
    }
    while (!m_pendingAnswers.empty() && link.isAcknowledged(m_pendingAnswers.front().record)) {
        const JobId id = m_pendingAnswers.front().job;
        m_pendingAnswers.pop_front();
        JobRecord &record = jobs.at(id);
        replyToWaiting(id, record, actions);
        for (TaskIndex index = 0; index < record.active->tasks.size(); ++index) {
            const TaskRecord &task = record.active->tasks[index];
            if (task.state == TaskState::Finished && task.failure != Reason::WorkerLost) {
                m_messages.acknowledge(task.worker, { id, index }, now);
            }
        }
        record.active.reset();
        --unanswered;
        m_answeredAt.emplace_back(now, id);
    }
}

void HomeCore::Implementation::expireRecords(Instant now)
{
    while (!m_answeredAt.empty() && m_answeredAt.front().first + m_rules.retention() + clockTolerance <= now) {
        const auto found = jobs.find(m_answeredAt.front().second);
        m_answeredAt.pop_front();
        if (found == jobs.end() || !found->second.answer) {
            continue;
        }
        m_bytes -= answerBytes(*found->second.answer);
        link.append(JobExpired{ found->first });
        jobs.erase(found);
    }
}

} // namespace lagoonroute
