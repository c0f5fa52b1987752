#include <lagoonroute/configuration/servicerules.h>

#include <algorithm>

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

} // namespace lagoonroute
