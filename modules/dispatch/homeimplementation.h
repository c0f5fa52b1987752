#pragma once

#include "jobrecord.h"
#include "mirrorlink.h"
#include "refusalcache.h"
#include "workermessages.h"

#include <lagoonroute/dispatch/homecore.h>
#include <lagoonroute/placement/scheduler.h>

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace lagoonroute
{

/** State and logic of a home, implemented in homecore.cpp, homejobs.cpp, hometasks.cpp and homerecords.cpp. */
class HomeCore::Implementation
{
public:
    using Actions = std::vector<AgentAction>;
    using Jobs = std::unordered_map<JobId, JobRecord>;

    Implementation(NodeId self, ShardView view, ServiceRules rules, std::uint64_t seed, Instant now);

    // homecore.cpp: events and time
    void handle(const AgentEvent &event, Instant now, Actions &actions);
    [[nodiscard]] std::optional<Instant> nextWake() const;

    // homerecords.cpp: the mirror and the records of an earlier home
    void changeView(const ShardView &view, Instant now);
    void load(ShardRecords &records, Instant now);
    void recover(Instant now, Actions &actions);
    void stepDown(const std::optional<ShardView> &view, Actions &actions);

    ShardView view;
    HomeCore::Limits limits;
    Jobs jobs;
    std::size_t unanswered = 0;
    MirrorLink link;

private:
    /** A placed task whose start order waits for the mirror's acknowledgement. */
    struct PendingStart
    {
        TaskId task;
        std::uint32_t attempt = 0;
        std::uint64_t record = 0;
    };

    /** An answer that waits for the mirror's acknowledgement. */
    struct PendingAnswer
    {
        JobId job;
        std::uint64_t record = 0;
    };

    // homecore.cpp
    void dispatch(const AgentEvent &event, Instant now, Actions &actions);
    void receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions);
    void detectPause(Instant now);
    void handleTimers(Instant now);
    void finishEvent(Instant now, Actions &actions);
    [[nodiscard]] bool maySubmit(Instant now) const;
    [[nodiscard]] bool mayStart(Instant now) const;

    // homejobs.cpp: the life cycle of a job
    void submit(const SubmitJob &message, Instant now, Actions &actions);
    void lookUp(const LookUpJob &message, Instant now, Actions &actions);
    void cancel(const CancelJob &message, Instant now, Actions &actions);
    void attach(JobRecord &record, const JobId &id, const RequestId &request, Actions &actions) const;
    void admit(const SubmitJob &message, Instant now, Actions &actions);
    void refuse(const RequestId &request, const JobId &id, const JobAnswer &answer, Instant now, Actions &actions);
    void reply(const RequestId &request, const JobId &id, const JobAnswer &answer, Actions &actions) const;
    void withdrawRemaining(const JobId &id, ActiveJob &job, Reason reason, bool stopStarted, Instant now);
    void answerIfSettled(const JobId &id, JobRecord &record);
    void answer(const JobId &id, JobRecord &record, JobAnswer answer);
    [[nodiscard]] bool mayReplyWithAnswer(const JobRecord &record) const;
    [[nodiscard]] bool isEpochConfirmed() const;
    void replyToWaiting(const JobId &id, JobRecord &record, Actions &actions) const;
    void releaseAnswers(Instant now, Actions &actions);
    void expireRecords(Instant now);
    [[nodiscard]] std::optional<JobAnswer> keyRefusal(const JobRequest &content, Instant now) const;
    [[nodiscard]] bool recordsMayBeLost(Instant now) const;
    [[nodiscard]] bool isFull(std::size_t bytes) const;

    // hometasks.cpp: the life cycle of a task
    void place(Instant now);
    void releaseStarts(Instant now, Actions &actions);
    void sendStart(const TaskId &id, const ActiveJob &job, const TaskRecord &task, Instant now, Actions &actions) const;
    void refuseTask(NodeId worker, const TaskRefused &message, Instant now);
    void finishTask(NodeId worker, const TaskFinished &message, Instant now);
    void handleWithdrawn(NodeId worker, const TasksWithdrawn &message, Instant now);
    void handleRecovered(NodeId worker, const TasksRecovered &message, Instant now);
    void handleNotStarted(const TaskId &id, Instant now);
    void endAttempt(const TaskId &id, TaskRecord &task, AttemptResult result, Duration runTime, Instant now);
    void changeWorker(const WorkerState &worker, Instant now);
    void loseWorker(NodeId node, Incarnation incarnation, Instant now);
    void loseTask(const TaskId &id, Instant now);
    void suspendWorker(NodeId worker, Reason reason, Instant now);
    void resumeWorkers(Instant now);
    void resendToWorker(NodeId worker, bool withStarts, Instant now, Actions &actions);
    void resendQueries(Instant now, Actions &actions);
    void scheduleResend(Instant now);
    [[nodiscard]] TaskRecord *findTask(const TaskId &id, NodeId worker);
    [[nodiscard]] static TaskDemand demandOf(const JobId &id, const ActiveJob &job, TaskIndex index);

    // homerecords.cpp
    void continueTransfer(Instant now);
    void transferJob(const JobId &id, const JobRecord &record, Instant now);
    void loadJob(const JobId &id, MirroredJob job, Instant now);

    NodeId m_self;
    ServiceRules m_rules;
    Scheduler m_scheduler;
    WorkerMessages m_messages;
    RefusalCache m_refusals;
    bool m_stopping = false;
    std::optional<StartsAllowed> m_startsAllowed;
    std::optional<Duration> m_wallOffset; /**< Calendar time minus the time of this process. */
    std::optional<Instant> m_recordsLostAt;
    Instant m_lastEventAt;
    std::uint64_t m_probe = 0; /**< Record that the mirror must acknowledge before a task starts or an unrecorded answer is sent. */
    std::size_t m_bytes = 0;
    std::deque<PendingStart> m_pendingStarts;
    std::deque<PendingAnswer> m_pendingAnswers;
    std::vector<JobId> m_completed; /**< Answered as complete during this event. */
    std::deque<JobId> m_transferQueue;
    bool m_transferring = false;
    std::set<std::pair<Instant, JobId>> m_deadlines;
    std::deque<std::pair<Instant, JobId>> m_answeredAt;
    std::map<NodeId, WorkerState> m_workers;
    std::map<NodeId, Instant> m_suspended;
    std::map<NodeId, Instant> m_reconnects; /**< Time to resend messages that may be lost with a connection. */
    std::unordered_map<NodeId, std::set<TaskId>> m_tasksOfWorker; /**< Assigned tasks that are not settled. */
    std::optional<Instant> m_resendAt;
};

} // namespace lagoonroute
