#include <lagoonroute/direct/agentregistry.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Capacity requests for each waiting task, so that the first capacity to become free is likely at one of these agents. */
constexpr std::size_t requestsPerTask = 6;
/** Multiple of the needed requests from which requests are withdrawn: one that is not used costs the upstream an exclusive notice. */
constexpr std::size_t tolerableRequests = 2;

} // namespace

bool AgentRegistry::shouldRequestFrom(const Agent &agent, const CapacityDemand &demand, Instant now) const
{
    const PlacementRequest placement{ .service = demand.service, .need = demand.need, .requiredLabel = demand.requiredLabel };
    // Where the task already fits into the announced capacity, it is held back by something that more capacity would not change.
    return isUsable(agent, now) && matches(agent.offer, placement) && demand.need.fitsInto(agent.offer.capacity) && !demand.need.fitsInto(freeCapacity(agent))
        && m_health.placementLimits(NodeId::fromName(agent.name), now).allowance > 0;
}

std::vector<SendOnLink> AgentRegistry::requestCapacity(const std::vector<CapacityDemand> &demands, Instant now, const ReservationRequests &reservations)
{
    std::vector<SendOnLink> messages;
    std::vector<std::size_t> requested(demands.size()); // number of requests, for each demand
    requestReservations(reservations, messages);
    if (!demands.empty() || !reservations.empty() || m_hasOutstandingRequests) {
        reviewRequests(demands, reservations, now, requested, messages);
        addRequests(demands, now, requested, messages);
        m_hasOutstandingRequests = !demands.empty() || !reservations.empty(); // without either, all were withdrawn or declined just now
    }
    return messages;
}

/** Withdraws requests that are no longer needed, and updates those whose priority has changed. */
void AgentRegistry::reviewRequests(const std::vector<CapacityDemand> &demands,
                                   const ReservationRequests &reservations,
                                   Instant now,
                                   std::vector<std::size_t> &requested,
                                   std::vector<SendOnLink> &messages)
{
    for (auto &item : m_agents) {
        Agent &agent = item.second;
        if (agent.link == 0 || !agent.capacityRequest || (!reservations.empty() && reservations.count(item.first) != 0)) {
            continue;
        }
        const auto demand = std::find_if(demands.begin(), demands.end(), [&](const CapacityDemand &other) { return shouldRequestFrom(agent, other, now); });
        const auto position = static_cast<std::size_t>(demand - demands.begin());
        if (demand == demands.end() || requested[position] >= demand->tasks * requestsPerTask * tolerableRequests) {
            agent.capacityRequest.reset();
            messages.push_back(SendOnLink{ agent.link, CapacityRequest{} });
            continue;
        }
        ++requested[position];
        const CapacityRequest capacityRequest = requestFor(agent, *demand);
        if (agent.capacityRequest->priority != capacityRequest.priority || agent.capacityRequest->reserve) {
            agent.capacityRequest = capacityRequest;
            messages.push_back(SendOnLink{ agent.link, capacityRequest });
        }
    }
}

/** Ends the exclusive notices that were not used. */
void AgentRegistry::declineNotices(std::vector<SendOnLink> &messages)
{
    for (auto &[node, agent] : m_agents) {
        if (agent.hasExclusiveNotice && agent.link != 0 && !agent.capacityRequest) {
            agent.hasExclusiveNotice = false;
            messages.push_back(SendOnLink{ agent.link, CapacityRequest{} });
        }
    }
}

/** Sends further requests where there are too few, and declines exclusive notices that were not used. */
void AgentRegistry::addRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &requested, std::vector<SendOnLink> &messages)
{
    bool isMoreNeeded = false;
    for (std::size_t position = 0; position < demands.size(); ++position) {
        isMoreNeeded = isMoreNeeded || requested[position] < demands[position].tasks * requestsPerTask;
    }
    if (!isMoreNeeded) {
        declineNotices(messages); // the usual case: nothing waits
        return;
    }
    std::vector<Agent *> others;
    others.reserve(m_agents.size());
    for (auto &[node, agent] : m_agents) {
        if (agent.link != 0 && !agent.capacityRequest) {
            others.push_back(&agent);
        }
    }
    // In random order: if all entries asked the same agents, the capacity of the others would stay unused.
    std::shuffle(others.begin(), others.end(), m_random);
    for (Agent *agent : others) {
        for (std::size_t position = 0; position < demands.size() && !agent->capacityRequest; ++position) {
            const CapacityDemand &demand = demands[position];
            if (requested[position] < demand.tasks * requestsPerTask && shouldRequestFrom(*agent, demand, now)) {
                ++requested[position];
                agent->capacityRequest = requestFor(*agent, demand);
                agent->hasExclusiveNotice = false; // the message also ends the exclusive notice
                messages.push_back(SendOnLink{ agent->link, *agent->capacityRequest });
            }
        }
        if (std::exchange(agent->hasExclusiveNotice, false)) {
            messages.push_back(SendOnLink{ agent->link, CapacityRequest{} });
        }
    }
}

} // namespace lagoonroute
