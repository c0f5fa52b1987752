#include <lagoonroute/direct/agentregistry.h>

#include <algorithm>

namespace lagoonroute
{

bool AgentRegistry::canReserve(NodeId node, const CapacityDemand &demand, Instant now) const
{
    const Agent *agent = find(node);
    return agent != nullptr && (agent->features & capacityReservationFeature) != 0 && shouldRequestFrom(*agent, demand, now);
}

std::vector<NodeId> AgentRegistry::reservationCandidates(const CapacityDemand &demand, Instant now)
{
    std::vector<std::pair<Resources, NodeId>> suitable;
    for (const auto &[node, agent] : m_agents) {
        if (canReserve(node, demand, now)) {
            suitable.emplace_back(freeCapacity(agent), node);
        }
    }
    // In random order among equals: most full agents announce nothing, and all entries would reserve at the same ones.
    std::shuffle(suitable.begin(), suitable.end(), m_random);
    std::stable_sort(suitable.begin(), suitable.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<NodeId> nodes;
    nodes.reserve(suitable.size());
    for (const auto &[free, node] : suitable) {
        nodes.push_back(node);
    }
    return nodes;
}

/** Sends the requests that reserve, unless they are in force. */
void AgentRegistry::requestReservations(const ReservationRequests &reservations, std::vector<SendOnLink> &messages)
{
    for (const auto &[node, request] : reservations) {
        Agent &agent = m_agents[node];
        const bool isInForce = agent.capacityRequest && agent.capacityRequest->reserve && agent.capacityRequest->need == request.need
            && agent.capacityRequest->priority == request.priority;
        if (!isInForce) {
            agent.capacityRequest = request;
            agent.hasExclusiveNotice = false; // the message also ends the exclusive notice
            messages.push_back(SendOnLink{ agent.link, request });
        }
    }
}

CapacityRequest AgentRegistry::requestFor(const Agent &agent, const CapacityDemand &demand)
{
    const bool isKnown = (agent.features & capacityReservationFeature) != 0;
    return CapacityRequest{ true, demand.priority, demand.need, false, isKnown ? demand.expectedRunTime : Duration(0) };
}

} // namespace lagoonroute
