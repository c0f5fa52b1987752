#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/ejectionrules.h>
#include <lagoonroute/configuration/keyrule.h>
#include <lagoonroute/configuration/stragglerrules.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoonroute
{

template <typename T>
struct FieldsOf;

/** What the placement of tasks weighs more heavily. */
enum class RoutingPreference : std::uint8_t {
    ResponseTime, /**< Answers soon, at the price of more messages. */
    WastedMessages, /**< Few messages beyond a request and an answer for each hop. */
};

/** Largest number of tasks in one job. */
inline constexpr std::size_t maxTasksPerJob = 790;

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

    /** What placement weighs more heavily. */
    [[nodiscard]] RoutingPreference preference() const noexcept
    {
        return m_preference;
    }

    /** Number of tasks that may wait at the home before new jobs are refused. */
    [[nodiscard]] std::uint32_t queueLimit() const noexcept
    {
        return m_queueLimit;
    }

    /** Number of tasks that may wait at an executor beyond those that run. */
    [[nodiscard]] std::uint32_t executorQueueDepth() const noexcept
    {
        return m_executorQueueDepth;
    }

    /** Weight of the caller's share of the service when callers compete. */
    [[nodiscard]] std::uint32_t callerWeight(const std::string &caller) const;

    /** Weights of the callers that have one of their own. */
    [[nodiscard]] const std::map<std::string, std::uint32_t> &callerWeights() const noexcept
    {
        return m_callerWeights;
    }

    /** Weight of every other caller. */
    [[nodiscard]] std::uint32_t defaultCallerWeight() const noexcept
    {
        return m_defaultCallerWeight;
    }

    /** Retries allowed, in percent of the fresh tasks. */
    [[nodiscard]] std::uint32_t retryBudgetPercent() const noexcept
    {
        return m_retryBudgetPercent;
    }

    /** Time that a job may take when its caller names no deadline. */
    [[nodiscard]] Duration defaultDeadline() const noexcept
    {
        return m_defaultDeadline;
    }

    /** Longest time that a caller may name as a deadline. */
    [[nodiscard]] Duration largestDeadline() const noexcept
    {
        return m_largestDeadline;
    }

    /** Time that an answer and its key are kept; a resubmission within it gets the same answer. */
    [[nodiscard]] Duration retention() const noexcept
    {
        return m_retention;
    }

    /** Ways to find a request's submission key, tried in order. */
    [[nodiscard]] const std::vector<KeyRule> &keyRules() const noexcept
    {
        return m_keyRules;
    }

    /** Whether a request that does not say so itself is non-idempotent, and so needs a submission key. */
    [[nodiscard]] bool isNonIdempotentByDefault() const noexcept
    {
        return m_nonIdempotentByDefault;
    }

    /** When a worker that fails its tasks is taken out, and how it comes back. */
    [[nodiscard]] const EjectionRules &ejection() const noexcept
    {
        return m_ejection;
    }

    /** When a worker counts as a straggler. */
    [[nodiscard]] const StragglerRules &straggler() const noexcept
    {
        return m_straggler;
    }

    /** Longest time that a planned stop waits for work in progress. */
    [[nodiscard]] Duration drainLimit() const noexcept
    {
        return m_drainLimit;
    }

    /** Largest body of a request, in bytes. */
    [[nodiscard]] std::uint32_t largestBodyBytes() const noexcept
    {
        return m_largestBodyBytes;
    }

    /** Largest number of tasks in one job of this service. */
    [[nodiscard]] std::uint32_t largestTaskCount() const noexcept
    {
        return m_largestTaskCount;
    }

    /** Availability zones in which the service runs, in order of their names; empty means all. */
    [[nodiscard]] const std::vector<std::string> &zones() const noexcept
    {
        return m_zones;
    }

    /** Tells whether the service runs in the given availability zone. */
    [[nodiscard]] bool runsIn(const std::string &zone) const;

    auto operator<=>(const ServiceRules &) const = default;

private:
    template <typename T>
    friend struct FieldsOf;

    std::string m_name;
    std::string m_upstreamPath = "/tasks";
    RoutingPreference m_preference = RoutingPreference::ResponseTime;
    std::uint32_t m_queueLimit = 10000;
    std::uint32_t m_executorQueueDepth = 0;
    std::uint32_t m_defaultCallerWeight = 1;
    std::map<std::string, std::uint32_t> m_callerWeights;
    std::uint32_t m_retryBudgetPercent = 20;
    Duration m_defaultDeadline = std::chrono::seconds(60);
    Duration m_largestDeadline = std::chrono::minutes(10);
    Duration m_retention = std::chrono::minutes(15);
    std::vector<KeyRule> m_keyRules{ KeyRule{} };
    bool m_nonIdempotentByDefault = false;
    EjectionRules m_ejection;
    StragglerRules m_straggler;
    Duration m_drainLimit = std::chrono::seconds(60);
    std::uint32_t m_largestBodyBytes = 1'048'576;
    std::uint32_t m_largestTaskCount = maxTasksPerJob;
    std::vector<std::string> m_zones;
};

/** Builds ServiceRules step by step. What is not set keeps its default. */
class ServiceRules::Builder
{
public:
    /** Starts with the default rules for the service of the given name. */
    explicit Builder(std::string name);

    /** Starts with the given rules. */
    explicit Builder(ServiceRules rules);

    /** Sets the path of the upstream that runs a task; it begins with "/". */
    Builder &withUpstreamPath(std::string path);

    /** Sets what placement weighs more heavily. */
    Builder &withPreference(RoutingPreference preference);

    /** Sets the number of tasks that may wait at the home. */
    Builder &withQueueLimit(std::uint32_t tasks);

    /** Sets the number of tasks that may wait at an executor beyond those that run. */
    Builder &withExecutorQueueDepth(std::uint32_t tasks);

    /** Sets the weight of one caller's share. */
    Builder &withCallerWeight(std::string caller, std::uint32_t weight);

    /** Sets the weight of the callers that have none of their own. */
    Builder &withDefaultCallerWeight(std::uint32_t weight);

    /** Sets the retries allowed, in percent of the fresh tasks. */
    Builder &withRetryBudgetPercent(std::uint32_t percent);

    /** Sets the time that a job may take when its caller names no deadline. */
    Builder &withDefaultDeadline(Duration deadline);

    /** Sets the longest time that a caller may name as a deadline. */
    Builder &withLargestDeadline(Duration deadline);

    /** Sets the time that an answer and its key are kept. */
    Builder &withRetention(Duration retention);

    /** Replaces the ways to find a request's submission key. */
    Builder &withKeyRules(std::vector<KeyRule> rules);

    /** Says whether a request that does not say so itself is non-idempotent. */
    Builder &withNonIdempotentByDefault(bool nonIdempotent);

    /** Sets when a worker that fails its tasks is taken out. */
    Builder &withEjection(EjectionRules ejection);

    /** Sets when a worker counts as a straggler. */
    Builder &withStraggler(StragglerRules straggler);

    /** Sets the longest time that a planned stop waits for work in progress. */
    Builder &withDrainLimit(Duration limit);

    /** Sets the largest body of a request, in bytes. */
    Builder &withLargestBodyBytes(std::uint32_t bytes);

    /** Sets the largest number of tasks in one job. */
    Builder &withLargestTaskCount(std::uint32_t tasks);

    /** Sets the availability zones in which the service runs; none means all. */
    Builder &withZones(std::vector<std::string> zones);

    /** Returns the rules. Throws InvalidConfiguration with every value that is out of its range. */
    [[nodiscard]] ServiceRules build() const;

private:
    ServiceRules m_rules;
};

} // namespace lagoonroute
