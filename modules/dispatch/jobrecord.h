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
    bool isAccounted = false; /**< The scheduler accounts a slot to it. */
    bool isKnownToRun = false; /**< The worker confirmed that it started. */
    std::uint32_t attempt = 0;
    NodeId worker;
    Incarnation incarnation = 0;
    TaskResult result;

    /** Whether the task ended, or is proven never to start. */
    [[nodiscard]] bool isSettled() const noexcept
    {
        return state == TaskState::Finished || state == TaskState::Withdrawn;
    }
};

/** What a job needs until its answer is recorded. */
struct ActiveJob
{
    JobRequest content;
    Instant deadline;
    JobState state = JobState::Recording;
    Reason failure = Reason::None; /**< Why the rest of the job was withdrawn. */
    std::size_t unsettled = 0;
    std::size_t contentBytes = 0;
    std::vector<TaskRecord> tasks;
    std::vector<RequestId> waiting;
};

/** A job as long as its key is known. Once the answer is recorded only that and the digest stay. */
struct JobRecord
{
    Digest bodyDigest; /**< Zero for a job that was cancelled before it arrived: it matches every body. */
    std::unique_ptr<ActiveJob> active;
    std::unique_ptr<JobAnswer> answer;
};

/** Bytes of the task bodies. */
inline std::size_t contentBytes(const JobRequest &content)
{
    std::size_t bytes = 0;
    for (const TaskSpec &task : content.tasks) {
        bytes += task.body.size();
    }
    return bytes;
}

/** Bytes of the results. */
inline std::size_t answerBytes(const JobAnswer &answer)
{
    std::size_t bytes = answer.detail.size();
    for (const TaskResult &result : answer.results) {
        bytes += result.body.size();
    }
    return bytes;
}

} // namespace lagoonroute
