#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** One task of a submission, as a caller describes it. */
struct TaskDescription
{
    std::string body; /**< JSON text for the upstream. */
    Resources need; /**< Processors, memory and accelerators that it takes. */
    std::optional<Duration> expectedRunTime; /**< Helps the dispatcher to order tasks; it is not trusted. */

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

    /** Submission key; empty when the client is to mint one. */
    [[nodiscard]] const std::string &key() const noexcept
    {
        return m_key;
    }

    /** Time within which the whole job must be answered. */
    [[nodiscard]] Duration deadline() const noexcept
    {
        return m_deadline;
    }

    /** The JSON body of the request, the same at every resubmission. */
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
    /** Starts a job for the service of the given name. */
    explicit Builder(std::string service);

    /** Sets the submission key. Without one the client mints a time-ordered key. */
    Builder &withKey(std::string key);

    /** Sets the time within which the whole job must be answered. */
    Builder &withDeadline(Duration deadline);

    /** Marks the job as safe or unsafe to run twice; unsafe is the default. */
    Builder &withIdempotent(bool idempotent);

    /** Adds a task. */
    Builder &withTask(TaskDescription task);

    /** Returns the submission. Throws InvalidDocument when it has no task, too many, or a body that is not JSON. */
    [[nodiscard]] Submission build() const;

private:
    Submission m_submission;
    bool m_idempotent = false;
    std::vector<TaskDescription> m_tasks;
};

} // namespace lagoonroute
