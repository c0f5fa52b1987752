#include "homeimplementation.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

void HomeCore::Implementation::changeView(const ShardView &changed, Instant now)
{
    view = changed;
    link.open(view, now);
    m_probe = 0;
    // The full transfer includes these records, and nothing counts as acknowledged before it ends.
    for (PendingStart &pending : m_pendingStarts) {
        pending.record = 0;
    }
    for (PendingAnswer &pending : m_pendingAnswers) {
        pending.record = 0;
    }
    m_transferQueue.clear();
    m_transferring = link.hasMirror();
    if (!m_transferring) {
        return;
    }
    for (const auto &[id, record] : jobs) {
        m_transferQueue.push_back(id);
    }
    if (m_recordsLostAt) {
        link.append(RecordsLost{ now - *m_recordsLostAt });
    }
}

void HomeCore::Implementation::continueTransfer(Instant now)
{
    while (m_transferring && link.mayAppendTransfer()) {
        if (m_transferQueue.empty()) {
            link.endTransfer();
            m_transferring = false;
            return;
        }
        const auto found = jobs.find(m_transferQueue.front());
        m_transferQueue.pop_front();
        if (found != jobs.end()) {
            transferJob(found->first, found->second, now);
        }
    }
}

void HomeCore::Implementation::transferJob(const JobId &id, const JobRecord &record, Instant now)
{
    if (record.answer) {
        link.append(JobRecorded{ id, JobRequest{ .bodyDigest = record.bodyDigest } });
        link.append(AnswerRecorded{ id, *record.answer });
        return;
    }
    const ActiveJob &job = *record.active;
    JobRecorded recorded{ id, job.content };
    recorded.content.timeRemaining = job.deadline - now;
    link.append(std::move(recorded));
    for (TaskIndex index = 0; index < job.tasks.size(); ++index) {
        const TaskRecord &task = job.tasks[index];
        const bool isAssigned = task.state != TaskState::Waiting && task.state != TaskState::Withdrawn;
        if (isAssigned) {
            link.append(Assignment{ { id, index }, task.worker, task.incarnation, task.attempt });
        }
    }
}

void HomeCore::Implementation::load(ShardRecords &records, Instant now)
{
    m_recordsLostAt = records.lostAt;
    for (auto &[id, job] : records.jobs) {
        loadJob(id, std::move(job), now);
    }
    std::sort(m_answeredAt.begin(), m_answeredAt.end());
}

void HomeCore::Implementation::loadJob(const JobId &id, MirroredJob job, Instant now)
{
    JobRecord record{ .bodyDigest = job.content.bodyDigest };
    if (job.answer) {
        m_bytes += answerBytes(*job.answer);
        record.answer = std::make_unique<JobAnswer>(std::move(*job.answer));
        m_answeredAt.emplace_back(job.answeredAt, id);
        jobs.emplace(id, std::move(record));
        return;
    }
    auto active = std::make_unique<ActiveJob>();
    active->content = std::move(job.content);
    active->deadline = job.deadline;
    active->contentBytes = contentBytes(active->content);
    active->tasks.resize(active->content.tasks.size());
    active->unsettled = active->tasks.size();
    advance(active->state, JobEvent::Confirm);
    for (const auto &[index, assignment] : job.assignments) {
        TaskRecord &task = active->tasks.at(index);
        task.worker = assignment.worker;
        task.incarnation = assignment.incarnation;
        task.attempt = assignment.attempt;
        advance(task.state, TaskEvent::Adopt);
        m_tasksOfWorker[task.worker].insert({ id, index });
    }
    m_bytes += active->contentBytes;
    ++unanswered;
    m_deadlines.emplace(active->deadline, id);
    for (TaskIndex index = 0; index < active->tasks.size(); ++index) {
        if (active->tasks[index].state == TaskState::Waiting) {
            m_scheduler.enqueue(demandOf(id, *active, index), now);
        }
    }
    record.active = std::move(active);
    jobs.emplace(id, std::move(record));
}

void HomeCore::Implementation::recover(Instant now, Actions &actions)
{
    // The worker events handled before have already settled the tasks of workers that are gone.
    std::vector<NodeId> workers;
    for (const auto &[worker, tasks] : m_tasksOfWorker) {
        workers.push_back(worker);
    }
    for (const NodeId worker : workers) {
        resendToWorker(worker, false, now, actions);
    }
    finishEvent(now, actions);
}

void HomeCore::Implementation::stepDown(const std::optional<ShardView> &newView, Actions &actions)
{
    for (auto &[id, record] : jobs) {
        if (!record.active) {
            continue;
        }
        for (const RequestId &request : record.active->waiting) {
            actions.emplace_back(SendMessage{ request.entry, RedirectRequest{ request, view.key, newView } });
        }
        record.active->waiting.clear();
    }
}

} // namespace lagoonroute
