#pragma once

#include <lagoonroute/configuration/servicerules.h>

namespace lagoonroute
{

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
