#include <lagoonroute/configuration/servicerules.h>

#include <utility>

namespace lagoonroute
{

ServiceRules::Builder::Builder(std::string name)
{
    m_rules.m_name = std::move(name);
}

ServiceRules::Builder &ServiceRules::Builder::withUpstreamPath(std::string path)
{
    m_rules.m_upstreamPath = std::move(path);
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withQueueLimit(std::uint32_t tasks)
{
    m_rules.m_queueLimit = tasks;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withRetention(Duration retention)
{
    m_rules.m_retention = retention;
    return *this;
}

ServiceRules::Builder &ServiceRules::Builder::withDefaultDeadline(Duration deadline)
{
    m_rules.m_defaultDeadline = deadline;
    return *this;
}

ServiceRules ServiceRules::Builder::build() const
{
    return m_rules;
}

} // namespace lagoonroute
