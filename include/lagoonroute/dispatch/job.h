#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/outcome.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/resources.h>
#include <lagoonroute/configuration/servicerules.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** One task of a submission. */
struct TaskSpec
{
    std::string body; /**< Body of the request to the upstream. */
    Resources need; /**< As declared by the caller. */
    Duration declaredRunTime{ 0 }; /**< As declared by the caller; zero if not declared. */

    auto operator<=>(const TaskSpec &) const = default;
};

/** Content of a submission, identical in every resubmission apart from the time remaining. */
struct JobRequest
{
    std::string service;
    std::string caller;
    Digest bodyDigest; /**< Digest of the caller's body; distinguishes a reused key from a resubmission. */
    bool idempotent = true; /**< Whether the job may safely run twice. */
    Duration timeRemaining{ 0 }; /**< Time left until the caller's deadline, at the moment of sending. */
    std::optional<WallTime> keyTime; /**< Timestamp contained in a time-ordered submission key. */
    std::vector<TaskSpec> tasks;

    auto operator<=>(const JobRequest &) const = default;
};

/** Answer of an upstream to one task. */
struct TaskResult
{
    std::uint16_t status = 0; /**< HTTP status of the upstream's answer. */
    std::string body;

    auto operator<=>(const TaskResult &) const = default;
};

/** The single answer to a job. */
struct JobAnswer
{
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    std::string detail; /**< Explanation for a human reader. */
    std::optional<Duration> retryAfter; /**< Present where a retry makes sense. */
    std::vector<TaskResult> results; /**< One for each task of a complete job, otherwise empty. */
    std::vector<TaskIndex> started; /**< Tasks of a failed job that ran or may have run. */

    /** Returns the answer to a job none of whose tasks has started. */
    static JobAnswer notRun(Reason reason, std::string detail, std::optional<Duration> retryAfter = std::nullopt);

    auto operator<=>(const JobAnswer &) const = default;
};

} // namespace lagoonroute
