#pragma once

#include <lagoonroute/dispatch/job.h>
#include <lagoonroute/dispatch/shardview.h>

#include <compare>
#include <optional>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Identifies one caller's request at one entry, so that a late answer never reaches another caller. */
struct RequestId
{
    NodeId entry;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const RequestId &) const = default;
};

/** Entry to home: run this job, or attach the request to its existing record. */
struct SubmitJob
{
    RequestId request;
    ShardKey shard;
    Epoch epoch = 0; /**< Epoch of the latest view that the entry received. */
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
    Epoch epoch = 0; /**< Epoch of the answering home. The entry ignores "not run" from an epoch older than the one it last sent to. */

    auto operator<=>(const AnswerRequest &) const = default;
};

/** Agent to entry: this process is not the home of the shard; carries its latest view, if any. */
struct RedirectRequest
{
    RequestId request;
    ShardKey shard;
    std::optional<ShardView> view;

    auto operator<=>(const RedirectRequest &) const = default;
};

/** Mirror record: a task was assigned to a worker. */
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
struct JobExpired
{
    JobId job;

    auto operator<=>(const JobExpired &) const = default;
};

/** Mirror record: the records of an earlier home and mirror of the shard were lost; `age` is the time since then. */
struct RecordsLost
{
    Duration age{ 0 };

    auto operator<=>(const RecordsLost &) const = default;
};

/** Mirror record without content. Its acknowledgement proves that the mirror still accepted the epoch. */
struct MirrorProbe
{
    auto operator<=>(const MirrorProbe &) const = default;
};

/** One change that the home records at its mirror. */
using MirrorRecord = std::variant<JobRecorded, Assignment, AnswerRecorded, JobExpired, RecordsLost, MirrorProbe>;

/** Home to mirror: changes to record, in order. */
struct UpdateMirror
{
    ShardKey shard;
    Epoch epoch = 0;
    std::uint64_t sequence = 0; /**< Number of the first record; the next one has the next number. */
    std::vector<MirrorRecord> records;
    bool complete = false; /**< Whether the mirror has a full copy after these records. */

    auto operator<=>(const UpdateMirror &) const = default;
};

/** Mirror to home: every record below `nextSequence` is stored, or the epoch is refused. */
struct MirrorUpdated
{
    ShardKey shard;
    Epoch epoch = 0;
    std::uint64_t nextSequence = 0;
    bool accepted = true; /**< False when the mirror has seen a higher epoch or is being promoted. */

    auto operator<=>(const MirrorUpdated &) const = default;
};

/** Home to executor: start this task unless it was started or withdrawn before. */
struct StartTask
{
    ShardKey shard;
    Epoch epoch = 0;
    TaskId task;
    Duration startWithin{ 0 }; /**< The task must not start later than this after receipt. */
    Duration timeout{ 0 }; /**< Time limit of the call to the upstream. */
    std::string path;
    std::string body;
    Resources need;
    Incarnation incarnation = 0; /**< Incarnation of the agent that this is addressed to; zero for any. */
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
    std::uint32_t attempt = 0; /**< Attempt number of the refused StartTask. */

    auto operator<=>(const TaskRefused &) const = default;
};

/** Executor to home: the task has ended. Resent until acknowledged. */
struct TaskFinished
{
    ShardKey shard;
    Epoch epoch = 0;
    TaskId task;
    Reason failure = Reason::None; /**< None when the upstream answered with success. */
    TaskResult result;
    Duration runTime{ 0 }; /**< Measured at the agent beside the upstream. */

    auto operator<=>(const TaskFinished &) const = default;
};

/** Home to executor: these results are recorded and may be dropped. */
struct AcknowledgeResults
{
    ShardKey shard;
    std::vector<TaskId> tasks;

    auto operator<=>(const AcknowledgeResults &) const = default;
};

/** Home to executor: do not start these tasks; with `stopStarted`, also stop those already running. */
struct WithdrawTasks
{
    ShardKey shard;
    Epoch epoch = 0;
    bool stopStarted = false;
    std::vector<TaskId> tasks;
    Incarnation incarnation = 0; /**< Incarnation of the agent that was sent these tasks; any other does not reply. */

    auto operator<=>(const WithdrawTasks &) const = default;
};

/** Executor to home: result of a withdrawal. Tasks that had started are reported by TaskFinished later. */
struct TasksWithdrawn
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> withdrawn;
    std::vector<TaskId> started;

    auto operator<=>(const TasksWithdrawn &) const = default;
};

/** New home to executor: report the state of these tasks, and refuse lower epochs from now on. */
struct RecoverTasks
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> tasks;
    Incarnation incarnation = 0; /**< Incarnation of the agent that was sent these tasks; any other does not reply. */

    auto operator<=>(const RecoverTasks &) const = default;
};

/** Executor to new home: tasks that have started here, and tasks that have not started and never will under a lower epoch. */
struct TasksRecovered
{
    ShardKey shard;
    Epoch epoch = 0;
    std::vector<TaskId> running; /**< Started tasks; TaskFinished is sent for each when it ends. */
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
