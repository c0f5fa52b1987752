#pragma once

#include <cstdint>

namespace lagoonroute
{

/** Where a task of a recorded job stands, seen from its home. */
enum class TaskState : std::uint8_t {
    Waiting, /**< In the scheduler's queue. */
    Assigning, /**< Placed; the assignment is on its way to the mirror and no start has left. */
    Sent, /**< The start has left, or the worker confirmed that the task runs. */
    Withdrawing, /**< The worker was asked not to start it. */
    Recovering, /**< Assigned by an earlier home; the worker is asked what became of it. */
    Finished, /**< Ran or may have run, and will report nothing more. */
    Withdrawn, /**< Has not started and never will. */
};

/** What happens to a task. */
enum class TaskEvent : std::uint8_t {
    Place, /**< The scheduler chose a worker. */
    Confirm, /**< The mirror acknowledged the assignment, or the worker confirmed that the task runs. */
    Adopt, /**< An assignment of an earlier home was found in the records. */
    NotStarted, /**< It is proven that the assignment has not started and never will. */
    Withdraw, /**< The task is no longer wanted. */
    Finish, /**< The task ended, or its worker is gone. */
};

/** Where a recorded job stands at its home. */
enum class JobState : std::uint8_t {
    Recording, /**< The mirror has not acknowledged it yet. */
    Running,
    Cancelling, /**< What has not started is being withdrawn. */
    Answered,
};

/** What happens to a job. */
enum class JobEvent : std::uint8_t {
    Confirm, /**< The mirror acknowledged the record. */
    Cancel, /**< The caller cancelled it, a task failed, or its deadline passed. */
    Answer, /**< Every task is settled. */
};

/** Moves the task along its life cycle. Returns false, and changes nothing, where the event has no transition. */
bool advance(TaskState &state, TaskEvent event);

/** Moves the job along its life cycle. Returns false, and changes nothing, where the event has no transition. */
bool advance(JobState &state, JobEvent event);

} // namespace lagoonroute
