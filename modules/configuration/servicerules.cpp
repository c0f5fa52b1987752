#include <lagoonroute/configuration/servicerules.h>

#include "fieldchecker.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

std::uint32_t ServiceRules::callerWeight(const std::string &caller) const
{
    const auto found = m_callerWeights.find(caller);
    return found == m_callerWeights.end() ? m_defaultCallerWeight : found->second;
}

bool ServiceRules::runsIn(const std::string &zone) const
{
    return m_zones.empty() || std::binary_search(m_zones.begin(), m_zones.end(), zone);
}

ServiceRules::Builder::Builder(std::string name)
{
    m_rules.m_name = std::move(name);
}

ServiceRules::Builder::Builder(ServiceRules rules)
    : m_rules(std::move(rules))
{
}

ServiceRules::Builder &ServiceRules::Builder::withUpstreamPath(std::string path)
{
    m_rules.m_upstreamPath = std::move(path);
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withPreference(RoutingPreference preference)
{
    m_rules.m_preference = preference;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withQueueLimit(std::uint32_t tasks)
{
    m_rules.m_queueLimit = tasks;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withExecutorQueueDepth(std::uint32_t tasks)
{
    m_rules.m_executorQueueDepth = tasks;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withCallerWeight(std::string caller, std::uint32_t weight)
{
    m_rules.m_callerWeights.insert_or_assign(std::move(caller), weight);
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withDefaultCallerWeight(std::uint32_t weight)
{
    m_rules.m_defaultCallerWeight = weight;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withRetryBudgetPercent(std::uint32_t percent)
{
    m_rules.m_retryBudgetPercent = percent;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withDefaultDeadline(Duration deadline)
{
    m_rules.m_defaultDeadline = deadline;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withLargestDeadline(Duration deadline)
{
    m_rules.m_largestDeadline = deadline;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withRetention(Duration retention)
{
    m_rules.m_retention = retention;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withKeyRules(std::vector<KeyRule> rules)
{
    m_rules.m_keyRules = std::move(rules);
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withNonIdempotentByDefault(bool nonIdempotent)
{
    m_rules.m_nonIdempotentByDefault = nonIdempotent;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withEjection(EjectionRules ejection)
{
    m_rules.m_ejection = ejection;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withStraggler(StragglerRules straggler)
{
    m_rules.m_straggler = straggler;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withDrainLimit(Duration limit)
{
    m_rules.m_drainLimit = limit;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withLargestBodyBytes(std::uint32_t bytes)
{
    m_rules.m_largestBodyBytes = bytes;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withLargestTaskCount(std::uint32_t tasks)
{
    m_rules.m_largestTaskCount = tasks;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withZones(std::vector<std::string> zones)
{
    std::sort(zones.begin(), zones.end());
    m_rules.m_zones = std::move(zones);
    return *this;
}

ServiceRules ServiceRules::Builder::build() const
{
    throwUnlessValid("services", m_rules.m_name, m_rules);
    return m_rules;
}

} // namespace lagoonroute
