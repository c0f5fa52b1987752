#include <lagoonroute/direct/agentregistry.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

void AgentRegistry::setDrains(ZoneDrains drains)
{
    m_drains = std::move(drains);
    ++m_fitRevision;
}

bool AgentRegistry::isDrained(const Agent &agent) const
{
    return m_drains.contains(agent.zone);
}

bool AgentRegistry::fitsOnlyWhereDrained(const PlacementRequest &request) const
{
    if (m_drains.zones().empty()) {
        return false;
    }
    bool fitsWhereDrained = false;
    for (const auto &[node, agent] : m_agents) {
        if (matches(agent.offer, request) && request.need.fitsInto(agent.offer.capacity)) {
            if (!isDrained(agent)) {
                return false;
            }
            fitsWhereDrained = true;
        }
    }
    return fitsWhereDrained;
}

} // namespace lagoonroute
