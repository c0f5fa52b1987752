#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonroute
{

/** How a job ended. A job is never reported as partly complete. */
enum class Outcome : std::uint8_t {
    Complete, /**< Every task ran and every result is in the answer. */
    Failed, /**< At least one task ran or may have run, and not every result is known. */
    NotRun, /**< No task of the job has started, and none ever will. */
};

/** Why a job failed or was not run. */
enum class Reason : std::uint8_t {
    None,
    UnknownService,
    InvalidRequest,
    MissingKey, /**< A non-idempotent request has no submission key. */
    KeyReused, /**< The submission key was already used with a different body. */
    KeyExpired, /**< The time encoded in the submission key is older than the retention window. */
    NeverRunnable, /**< A task of the job fits into no worker of the service, not even into an idle one. */
    DeadlineTooShort, /**< The deadline cannot be met, or passed before a task started. */
    Overloaded, /**< A queue, a quota or the memory for records is full. */
    NoWorker, /**< The service has no worker at the moment. */
    NoView, /**< The shard has no usable home and mirror at the moment. */
    ShuttingDown, /**< The process is stopping and accepts no new work. */
    Cancelled, /**< The caller cancelled the job. */
    UpstreamError, /**< An upstream answered a task with an error or closed the connection early. */
    UpstreamTimeout, /**< An upstream did not answer a task in time. */
    WorkerLost, /**< A worker that may have started a task was lost. */
    HomeLost, /**< The record of the job was lost; the tasks may have run. */
    UnknownJob, /**< There is no record for this key: the submission never arrived, or its retention window has passed. */
};

/** Returns the machine-readable name that callers see, for example "not-run". */
std::string_view toString(Outcome outcome);

/** Returns the machine-readable name that callers see, for example "deadline-too-short". */
std::string_view toString(Reason reason);

} // namespace lagoonroute
