#pragma once

#include "lifecycle.h"

#include <lagoonroute/dispatch/messages.h>

#include <memory>
#include <vector>

namespace lagoonroute
{

/** One task of a job that has no recorded answer yet. */
struct TaskRecord
{
    TaskState state = TaskState::Waiting;
    Reason failure = Reason::None;
    bool isAccounted = false; /**< Whether the scheduler counts a slot of the worker as used by the task. */
    bool isKnownToRun = false; /**< Whether the worker confirmed that the task has started. */
    std::uint32_t attempt = 0;
    NodeId worker;
    Incarnation incarnation = 0;
    TaskResult result;

    /** Whether the task has ended, or is confirmed never to start. */
    [[nodiscard]] bool isSettled() const noexcept
    {
        return state == TaskState::Finished || state == TaskState::Withdrawn;
    }
};

/** State of a job until its answer is recorded. */
struct ActiveJob
{
    JobRequest content;
    Instant deadline;
    JobState state = JobState::Recording;
    Reason failure = Reason::None; /**< Why the remaining tasks of the job were withdrawn. */
    std::size_t unsettled = 0;
    std::size_t contentBytes = 0;
    std::vector<TaskRecord> tasks;
    std::vector<RequestId> waiting;
};

/** Record of a job, stored until its key expires. Once the answer is recorded, only the answer and the digest remain. */
struct JobRecord
{
    Digest bodyDigest; /**< Zero for a job that was cancelled before it arrived: it matches every body. */
    std::unique_ptr<ActiveJob> active;
    std::unique_ptr<JobAnswer> answer;
};

/** Total size of the task bodies, in bytes. */
inline std::size_t contentBytes(const JobRequest &content)
{
    std::size_t bytes = 0;
    for (const TaskSpec &task : content.tasks) {
        bytes += task.body.size();
    }
    return bytes;
}

/** Total size of the detail text and the results, in bytes. */
inline std::size_t answerBytes(const JobAnswer &answer)
{
    std::size_t bytes = answer.detail.size();
    for (const TaskResult &result : answer.results) {
        bytes += result.body.size();
    }
    return bytes;
}

} // namespace lagoonroute
