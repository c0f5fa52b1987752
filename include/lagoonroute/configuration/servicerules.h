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

/** Quantity that the placement of tasks primarily minimises. */
enum class RoutingPreference : std::uint8_t {
    ResponseTime, /**< Minimises the response time, at the cost of more messages. */
    WastedMessages, /**< Minimises messages beyond one request and one answer per hop. */
};

/** Largest number of tasks in one job. */
inline constexpr std::size_t maxTasksPerJob = 790;

/** Rules of one service. Immutable; created by ServiceRules::Builder. */
class ServiceRules
{
public:
    class Builder;

    /** Returns the name of the service, as used in the path of a caller's request. */
    [[nodiscard]] const std::string &name() const noexcept
    {
        return m_name;
    }

    /** Returns the path at the upstream to which a task is sent, for example "/tasks". */
    [[nodiscard]] const std::string &upstreamPath() const noexcept
    {
        return m_upstreamPath;
    }

    /** Returns the quantity that placement primarily minimises. */
    [[nodiscard]] RoutingPreference preference() const noexcept
    {
        return m_preference;
    }

    /** Returns the number of tasks that may wait at the home before new jobs are refused. */
    [[nodiscard]] std::uint32_t queueLimit() const noexcept
    {
        return m_queueLimit;
    }

    /** Returns the number of tasks that may wait at an executor in addition to the running ones. */
    [[nodiscard]] std::uint32_t executorQueueDepth() const noexcept
    {
        return m_executorQueueDepth;
    }

    /** Returns the weight that determines the caller's share of the service when callers compete. */
    [[nodiscard]] std::uint32_t callerWeight(const std::string &caller) const;

    /** Returns the weights of the callers that do not use the default weight. */
    [[nodiscard]] const std::map<std::string, std::uint32_t> &callerWeights() const noexcept
    {
        return m_callerWeights;
    }

    /** Returns the weight of callers that callerWeights() does not contain. */
    [[nodiscard]] std::uint32_t defaultCallerWeight() const noexcept
    {
        return m_defaultCallerWeight;
    }

    /** Returns the allowed number of retries as a percentage of first attempts. */
    [[nodiscard]] std::uint32_t retryBudgetPercent() const noexcept
    {
        return m_retryBudgetPercent;
    }

    /** Returns the deadline of a job whose caller does not specify one. */
    [[nodiscard]] Duration defaultDeadline() const noexcept
    {
        return m_defaultDeadline;
    }

    /** Returns the longest deadline that a caller may specify. */
    [[nodiscard]] Duration largestDeadline() const noexcept
    {
        return m_largestDeadline;
    }

    /** Returns how long an answer and its submission key are retained; a resubmission within this time gets the same answer. */
    [[nodiscard]] Duration retention() const noexcept
    {
        return m_retention;
    }

    /** Returns the rules that extract a request's submission key, in the order in which they are tried. */
    [[nodiscard]] const std::vector<KeyRule> &keyRules() const noexcept
    {
        return m_keyRules;
    }

    /** Returns whether a request that does not declare its idempotency is non-idempotent, and therefore needs a submission key. */
    [[nodiscard]] bool isNonIdempotentByDefault() const noexcept
    {
        return m_nonIdempotentByDefault;
    }

    /** Returns the rules for the ejection and readmission of workers. */
    [[nodiscard]] const EjectionRules &ejection() const noexcept
    {
        return m_ejection;
    }

    /** Returns the rules by which a worker is considered a straggler. */
    [[nodiscard]] const StragglerRules &straggler() const noexcept
    {
        return m_straggler;
    }

    /** Returns the longest time that a planned stop waits for work in progress. */
    [[nodiscard]] Duration drainLimit() const noexcept
    {
        return m_drainLimit;
    }

    /** Returns the largest allowed request body, in bytes. */
    [[nodiscard]] std::uint32_t largestBodyBytes() const noexcept
    {
        return m_largestBodyBytes;
    }

    /** Returns the largest number of tasks in one job of this service. */
    [[nodiscard]] std::uint32_t largestTaskCount() const noexcept
    {
        return m_largestTaskCount;
    }

    /** Returns the availability zones in which the service runs, sorted by name; empty means all. */
    [[nodiscard]] const std::vector<std::string> &zones() const noexcept
    {
        return m_zones;
    }

    /** Returns whether the service runs in the given availability zone. */
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

/** Builds ServiceRules step by step. Values that are not set keep their defaults. */
class ServiceRules::Builder
{
public:
    /** Starts from the default rules for the service of the given name. */
    explicit Builder(std::string name);

    /** Starts from the given rules. */
    explicit Builder(ServiceRules rules);

    /** Sets the path at the upstream to which a task is sent; it must begin with "/". */
    Builder &withUpstreamPath(std::string path);

    /** Sets the quantity that placement primarily minimises. */
    Builder &withPreference(RoutingPreference preference);

    /** Sets the number of tasks that may wait at the home before new jobs are refused. */
    Builder &withQueueLimit(std::uint32_t tasks);

    /** Sets the number of tasks that may wait at an executor in addition to the running ones. */
    Builder &withExecutorQueueDepth(std::uint32_t tasks);

    /** Sets the weight of one caller. */
    Builder &withCallerWeight(std::string caller, std::uint32_t weight);

    /** Sets the weight of callers without a weight of their own. */
    Builder &withDefaultCallerWeight(std::uint32_t weight);

    /** Sets the allowed number of retries as a percentage of first attempts. */
    Builder &withRetryBudgetPercent(std::uint32_t percent);

    /** Sets the deadline of a job whose caller does not specify one. */
    Builder &withDefaultDeadline(Duration deadline);

    /** Sets the longest deadline that a caller may specify. */
    Builder &withLargestDeadline(Duration deadline);

    /** Sets how long an answer and its submission key are retained. */
    Builder &withRetention(Duration retention);

    /** Replaces the rules that extract a request's submission key. */
    Builder &withKeyRules(std::vector<KeyRule> rules);

    /** Sets whether a request that does not declare its idempotency is non-idempotent. */
    Builder &withNonIdempotentByDefault(bool nonIdempotent);

    /** Sets the rules for the ejection and readmission of workers. */
    Builder &withEjection(EjectionRules ejection);

    /** Sets the rules by which a worker is considered a straggler. */
    Builder &withStraggler(StragglerRules straggler);

    /** Sets the longest time that a planned stop waits for work in progress. */
    Builder &withDrainLimit(Duration limit);

    /** Sets the largest allowed request body, in bytes. */
    Builder &withLargestBodyBytes(std::uint32_t bytes);

    /** Sets the largest number of tasks in one job. */
    Builder &withLargestTaskCount(std::uint32_t tasks);

    /** Sets the availability zones in which the service runs; an empty list means all. */
    Builder &withZones(std::vector<std::string> zones);

    /** Returns the rules. Throws InvalidConfiguration with every fault if there are any. */
    [[nodiscard]] ServiceRules build() const;

private:
    ServiceRules m_rules;
};

} // namespace lagoonroute
