#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** One task of a submission, as described by the caller. */
struct TaskDescription
{
    std::string body; /**< JSON text that the upstream receives. */
    Resources need; /**< Processors, memory and accelerators that the task requires. */
    std::optional<Duration> expectedRunTime; /**< Hint by which the dispatcher orders tasks; nothing relies on it being accurate. */

    auto operator<=>(const TaskDescription &) const = default;
};

/** Immutable job to submit, made by Submission::Builder. */
class Submission
{
public:
    class Builder;

    /** Name of the service that runs the tasks. */
    [[nodiscard]] const std::string &service() const noexcept
    {
        return m_service;
    }

    /** Submission key; empty if the client generates one. */
    [[nodiscard]] const std::string &key() const noexcept
    {
        return m_key;
    }

    /** Time limit for the answer to the whole job. */
    [[nodiscard]] Duration deadline() const noexcept
    {
        return m_deadline;
    }

    /** JSON body of the request, identical in every resubmission. */
    [[nodiscard]] const std::string &body() const noexcept
    {
        return m_body;
    }

    auto operator<=>(const Submission &) const = default;

private:
    std::string m_service;
    std::string m_key;
    Duration m_deadline = std::chrono::seconds(60);
    std::string m_body;
};

/** Builds a Submission step by step. */
class Submission::Builder
{
public:
    /** Creates a builder of a job for the service with the given name. */
    explicit Builder(std::string service);

    /** Sets the submission key. Without one, the client generates a time-ordered key. */
    Builder &withKey(std::string key);

    /** Sets the time limit for the answer to the whole job. */
    Builder &withDeadline(Duration deadline);

    /** Sets whether the tasks may safely run more than once; false by default. */
    Builder &withIdempotent(bool idempotent);

    /** Adds a task. */
    Builder &withTask(TaskDescription task);

    /** Returns the submission. Throws InvalidDocument if it has no task, more than maxTasksPerJob tasks, or a task body that is not JSON. */
    [[nodiscard]] Submission build() const;

private:
    Submission m_submission;
    bool m_idempotent = false;
    std::vector<TaskDescription> m_tasks;
};

} // namespace lagoonroute
