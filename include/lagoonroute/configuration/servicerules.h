#pragma once

#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** Immutable rules of one service, made by ServiceRules::Builder. */
class ServiceRules
{
public:
    class Builder;

    /** Name of the service, as it stands in the caller's path. */
    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_name;
    }

    /** Path of the upstream that runs a task, for example "/tasks". */
    [[nodiscard]] const std::string &upstreamPath() const noexcept
    {
        return m_upstreamPath;
    }

    /** Number of tasks that may wait at the home before new jobs are refused. */
    [[nodiscard]] std::uint32_t queueLimit() const noexcept
    {
        return m_queueLimit;
    }

    /** Time that an answer and its key are kept; a resubmission within it gets the same answer. */
    [[nodiscard]] Duration retention() const noexcept
    {
        return m_retention;
    }

    /** Time that a job may take when its caller names no deadline. */
    [[nodiscard]] Duration defaultDeadline() const noexcept
    {
        return m_defaultDeadline;
    }

    auto operator<=>(const ServiceRules &) const = default;

private:
    std::string m_name;
    std::string m_upstreamPath = "/tasks";
    std::uint32_t m_queueLimit = 10000;
    Duration m_retention = std::chrono::minutes(15);
    Duration m_defaultDeadline = std::chrono::seconds(60);
};

/** Builds ServiceRules step by step. */
class ServiceRules::Builder
{
public:
    /** Starts with the default rules for the service of the given name. */
    explicit Builder(std::string name);

    Builder &withUpstreamPath(std::string path);
    Builder &withQueueLimit(std::uint32_t tasks);
    Builder &withRetention(Duration retention);
    Builder &withDefaultDeadline(Duration deadline);

    /** Returns the rules. */
    [[nodiscard]] ServiceRules build() const;

private:
    ServiceRules m_rules;
};

} // namespace lagoonroute
