#pragma once

#include <cstdint>
#include <string_view>

namespace lagoonroute
{

/** How a job ended. There is no partial outcome. */
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
    MissingKey, /**< A non-idempotent request came without a submission key. */
    KeyReused, /**< The submission key was used before with another body. */
    KeyExpired, /**< The time within the submission key is older than the retention window. */
    NeverRunnable, /**< No worker of the service could ever fit a task of the job. */
    DeadlineTooShort, /**< The deadline cannot be met, or has passed before a task started. */
    Overloaded, /**< A queue, a quota or the memory for records is full. */
    NoWorker, /**< The service has no worker at the moment. */
    NoView, /**< The shard has no usable home and mirror at the moment. */
    ShuttingDown, /**< The process is stopping and takes no new work. */
    Cancelled, /**< The caller cancelled the job. */
    UpstreamError, /**< An upstream answered a task with an error or broke off. */
    UpstreamTimeout, /**< An upstream did not answer a task in time. */
    WorkerLost, /**< A worker that may have started a task is gone. */
    HomeLost, /**< The record of the job was lost; the tasks may have run. */
    UnknownJob, /**< No record under this key: it never arrived, or its retention window has passed. */
};

/** Returns the machine-readable name that callers see, for example "not-run". */
std::string_view toString(Outcome outcome);

/** Returns the machine-readable name that callers see, for example "deadline-too-short". */
std::string_view toString(Reason reason);

} // namespace lagoonroute
