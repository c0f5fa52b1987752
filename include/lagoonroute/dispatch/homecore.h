#pragma once

#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/placement/scheduler.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/**
 * Decides for one shard at its home: records jobs, places their tasks, gathers every result and answers.
 */
class HomeCore
{
public:
    /** Creates the home core of a shard under the given rules; `seed` feeds the scheduler. */
    HomeCore(NodeId self, ShardView view, ServiceRules rules, std::uint64_t seed);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of jobs that are recorded, answered ones included. */
    [[nodiscard]] std::size_t jobCount() const noexcept
    {
        return m_jobs.size();
    }

private:
    struct TaskRecord
    {
        NodeId worker;
        bool started = false;
        bool settled = false;
        Reason failure = Reason::None;
        TaskResult result;
    };

    struct JobRecord
    {
        JobRequest content;
        Instant deadline;
        std::vector<TaskRecord> tasks;
        std::vector<RequestId> waiting;
        std::optional<JobAnswer> answer;
        std::size_t unsettled = 0;
    };

    using Actions = std::vector<AgentAction>;

    void receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions);
    void submit(const SubmitJob &message, Instant now, Actions &actions);
    void refuseTask(NodeId worker, const TaskRefused &message, Instant now);
    void finishTask(NodeId worker, const TaskFinished &message, Instant now, Actions &actions);
    void placeWaiting(Instant now, Actions &actions);
    void expire(Instant now, Actions &actions);
    void settle(const JobId &id, JobRecord &job, Actions &actions);
    void answer(const JobId &id, JobRecord &job, JobAnswer answer, Actions &actions);
    [[nodiscard]] TaskDemand demandOf(const JobId &id, const JobRecord &job, TaskIndex index) const;

    NodeId m_self;
    ShardView m_view;
    ServiceRules m_rules;
    Scheduler m_scheduler;
    std::unordered_map<JobId, JobRecord> m_jobs;
};

} // namespace lagoonroute
