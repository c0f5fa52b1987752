#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** A group of equal tasks of a direct job. */
struct DirectStep
{
    std::uint32_t count = 0; /**< Number of tasks. */
    Resources need; /**< Of one task. */
    Duration estimate{ 0 }; /**< Declared run time of one task; zero when not declared. */
    std::vector<std::uint32_t> after; /**< Earlier steps whose tasks must all be done first. */
    std::string requiredLabel; /**< Label that the upstream must have; empty for none. */
    std::string preferredLabel; /**< Label of the upstreams near the task's data; empty for none. */
    std::uint32_t maxPerUpstream = 0; /**< Most tasks of the step on one upstream at once; 0 for no bound. */

    auto operator<=>(const DirectStep &) const = default;
};

/** A job that one entry manages alone, without a record elsewhere. */
struct DirectJob
{
    std::string id; /**< Chosen by the client account; a resubmission has the same id. */
    std::string spec; /**< Passed to the upstream with every task. */
    std::vector<DirectStep> steps;
    std::vector<std::string> unsupported; /**< Names of requested features that this version does not support. */

    auto operator<=>(const DirectJob &) const = default;
};

/** Identity of one task of a direct job. */
struct DirectTaskId
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const DirectTaskId &) const = default;
};

/** How a direct job ended for its client account. */
enum class DirectVerdict : std::uint8_t {
    Completed, /**< Every task is done. */
    Failed, /**< A task used up its attempts. */
    TimedOut, /**< Tasks have started, and the deadline of the job has passed. */
    NotRun, /**< No task has started, and none ever will. */
    UnknownRoute, /**< No route matches the request. */
    Malformed, /**< The request is not a valid job. */
};

/** The only answer to a submission. */
struct DirectAnswer
{
    DirectVerdict verdict = DirectVerdict::NotRun;
    std::string reason; /**< Machine-readable, for example "overloaded". */
    Duration retryAfter{ 0 }; /**< Delay after which a retry makes sense; zero if not specified. */

    auto operator<=>(const DirectAnswer &) const = default;
};

} // namespace lagoonroute
