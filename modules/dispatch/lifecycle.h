#pragma once

#include <cstdint>

namespace lagoonroute
{

/** State of a task of a recorded job at its home. */
enum class TaskState : std::uint8_t {
    Waiting, /**< In the scheduler's queue. */
    Assigning, /**< Placed; the mirror has not acknowledged the assignment and no start order was sent. */
    Sent, /**< The start order was sent, or the worker confirmed that the task runs. */
    Withdrawing, /**< A withdrawal was sent to the worker. */
    Recovering, /**< Assigned by an earlier home; the worker is queried for its state. */
    Finished, /**< Ran or may have run; no further report is expected. */
    Withdrawn, /**< Has not started and never will start. */
};

/** Event in the life cycle of a task. */
enum class TaskEvent : std::uint8_t {
    Place, /**< The scheduler chose a worker. */
    Confirm, /**< The mirror acknowledged the assignment, or the worker confirmed that the task runs. */
    Adopt, /**< An assignment of an earlier home was found in the records. */
    NotStarted, /**< The assignment is confirmed not to have started and never to start. */
    Withdraw, /**< The task is no longer needed. */
    Finish, /**< The task ended, or its worker was lost. */
};

/** State of a recorded job at its home. */
enum class JobState : std::uint8_t {
    Recording, /**< The mirror has not acknowledged it yet. */
    Running,
    Cancelling, /**< Tasks that have not started are being withdrawn. */
    Answered,
};

/** Event in the life cycle of a job. */
enum class JobEvent : std::uint8_t {
    Confirm, /**< The mirror acknowledged the record. */
    Cancel, /**< The caller cancelled it, a task failed, or its deadline passed. */
    Answer, /**< Every task is settled. */
};

/** Applies the event to the task's state. Returns false and leaves the state unchanged if there is no such transition. */
bool advance(TaskState &state, TaskEvent event);

/** Applies the event to the job's state. Returns false and leaves the state unchanged if there is no such transition. */
bool advance(JobState &state, JobEvent event);

} // namespace lagoonroute
