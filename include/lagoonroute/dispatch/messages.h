#pragma once

#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/dispatch/shardview.h>

#include <compare>
#include <optional>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Names one caller's request at one entry, so that a late answer finds its caller or none. */
struct RequestId
{
    NodeId entry;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

/** Entry to home: run this job, or attach the request to the record that exists. */
struct SubmitJob
{
    RequestId request;
    ShardKey shard;
    Epoch epoch = 0; /**< View that the entry knows. */
    JobId job;
    JobRequest content;

    auto operator<=>(const SubmitJob &) const = default;
};

/** Entry to home: answer with the job's outcome once there is one; start nothing. */
struct LookUpJob
{
    RequestId request;
    ShardKey shard;
    Epoch epoch = 0;
    JobId job;

    auto operator<=>(const LookUpJob &) const = default;
};

/** Entry to home: cancel the job, and answer with its outcome once there is one. */
struct CancelJob
{
    RequestId request;
    ShardKey shard;
    Epoch epoch = 0;
    JobId job;

    auto operator<=>(const CancelJob &) const = default;
};

/** Home to entry: the answer to a request. */
struct AnswerRequest
{
    RequestId request;
    JobId job;
    JobAnswer answer;
    Epoch epoch = 0; /**< View under which the home answers; tells the entry how far a "not run" reaches. */

    auto operator<=>(const AnswerRequest &) const = default;
};

/** Home to entry: this process is not the home of the shard; the view that it knows, if any. */
struct RedirectRequest
{
    RequestId request;
    ShardKey shard;
    std::optional<ShardView> view;

    auto operator<=>(const RedirectRequest &) const = default;
};

/** A task that was sent to a worker, as the mirror records it. */
struct Assignment
{
    TaskId task;
    NodeId worker;
    Incarnation incarnation = 0;
    std::uint32_t attempt = 0; /**< Number of the placement of this task, from 1. */

    auto operator<=>(const Assignment &) const = default;
};

/** Mirror record: a job was admitted. */
struct JobRecorded
{
    JobId job;
    JobRequest content;

    auto operator<=>(const JobRecorded &) const = default;
};

/** Mirror record: the job has its answer. */
struct AnswerRecorded
{
    JobId job;
    JobAnswer answer;

    auto operator<=>(const AnswerRecorded &) const = default;
};

/** Mirror record: the retention window of the job has passed. */
struct JobForgotten
{
    JobId job;

    auto operator<=>(const JobForgotten &) const = default;
};

/** Mirror record: the records of an earlier home and mirror of the shard were lost that long ago. */
struct RecordsLost
{
    Duration age{ 0 };

    auto operator<=>(const RecordsLost &) const = default;
};

/** Mirror record without content: its acknowledgement proves that the epoch was still accepted. */
struct MirrorProbe
{
    auto operator<=>(const MirrorProbe &) const = default;
};

/** One change that the home records at its mirror. */
using MirrorRecord = std::variant<JobRecorded, Assignment, AnswerRecorded, JobForgotten, RecordsLost, MirrorProbe>;

/** Home to mirror: changes to record, in order. */
struct UpdateMirror
{
    ShardKey shard;
    Epoch epoch = 0;
    std::uint64_t sequence = 0; /**< Number of the first record; the next one has the next number. */
    std::vector<MirrorRecord> records;
    bool complete = false; /**< With these records the mirror has a full copy. */

    auto operator<=>(const UpdateMirror &) const = default;
};

/** Mirror to home: every record below `nextSequence` is kept, or the epoch is refused. */
struct MirrorUpdated
{
    ShardKey shard;
    Epoch epoch = 0;
    std::uint64_t nextSequence = 0;
    bool accepted = true; /**< False when the mirror knows a higher epoch or is promoting itself. */

    auto operator<=>(const MirrorUpdated &) const = default;
};

/** Home to executor: start this task unless it was started or withdrawn before. */
struct StartTask
{
    ShardKey shard;
    Epoch epoch = 0;
    TaskId task;
    Duration startWithin{ 0 }; /**< Not started after that time. */
    Duration timeout{ 0 }; /**< Time that the upstream may take. */
    std::string path;
    std::string body;
    Resources need;
    Incarnation incarnation = 0; /**< Life of the agent that is meant; zero means any. */
    std::uint32_t attempt = 0; /**< Number of the placement of this task. */

    auto operator<=>(const StartTask &) const = default;
};

/** Executor to home: the task has not started here and will not. */
struct TaskRefused
{
    ShardKey shard;
    Epoch epoch = 0;
    TaskId task;
    Reason reason = Reason::None;
    std::uint32_t attempt = 0; /**< Of the StartTask that is refused. */

    auto operator<=>(const TaskRefused &) const = default;
};

/** Executor to home: the task has ended. Repeated until acknowledged. */
struct TaskFinished
{
    ShardKey shard;
    Epoch epoch = 0;
    TaskId task;
    Reason failure = Reason::None; /**< None when the upstream answered with success. */
    TaskResult result;
    Duration runTime{ 0 }; /**< As measured beside the upstream. */

    auto operator<=>(const TaskFinished &) const = default;
};

/** Home to executor: these results are recorded and may be dropped. */
struct AcknowledgeResults
{
    ShardKey shard;
    std::vector<TaskId> tasks;

    auto operator<=>(const AcknowledgeResults &) const = default;
};

/** Home to executor: do not start these tasks; with `stopStarted`, also ask the worker to stop those that run. */
struct WithdrawTasks
{
    ShardKey shard;
    Epoch epoch = 0;
    bool stopStarted = false;
    std::vector<TaskId> tasks;
    Incarnation incarnation = 0; /**< Life of the agent that was sent these tasks; another life stays silent. */

    auto operator<=>(const WithdrawTasks &) const = default;
};

/** Executor to home: what became of tasks to withdraw. Those that had started report TaskFinished later. */
struct TasksWithdrawn
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> withdrawn;
    std::vector<TaskId> started;

    auto operator<=>(const TasksWithdrawn &) const = default;
};

/** New home to executor: tell what became of these tasks, and refuse lower epochs from now on. */
struct RecoverTasks
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> tasks;
    Incarnation incarnation = 0; /**< Life of the agent that was sent these tasks; another life stays silent. */

    auto operator<=>(const RecoverTasks &) const = default;
};

/** Executor to new home: tasks that run here, and tasks that never started and never will under a lower epoch. */
struct TasksRecovered
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> running; /**< They report TaskFinished when they end. */
    std::vector<TaskId> notStarted;

    auto operator<=>(const TasksRecovered &) const = default;
};

/** Every message between the decision cores of two processes. */
using DispatchMessage = std::variant<SubmitJob,
                                     LookUpJob,
                                     CancelJob,
                                     AnswerRequest,
                                     RedirectRequest,
                                     UpdateMirror,
                                     MirrorUpdated,
                                     StartTask,
                                     TaskRefused,
                                     TaskFinished,
                                     AcknowledgeResults,
                                     WithdrawTasks,
                                     TasksWithdrawn,
                                     RecoverTasks,
                                     TasksRecovered>;

} // namespace lagoonroute
