#include <lagoonroute/direct/agentregistry.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Agents asked for room for each task that waits, so that the first room to come free is among them with good odds. */
constexpr std::size_t requestsPerTask = 6;
/** Times the requests that are needed, above which requests are withdrawn: one that is not used costs the upstream a turn. */
constexpr std::size_t tolerableRequests = 2;

} // namespace

bool AgentRegistry::isWorthAsking(const Agent &agent, const CapacityDemand &demand, Instant now) const
{
    const PlacementRequest placement{ .service = demand.service, .need = demand.need, .requiredLabel = demand.requiredLabel };
    // Where the task would fit by what is known, it is kept out by something that more room would not change.
    return isUsable(agent, now) && matches(agent.offer, placement) && demand.need.fitsInto(agent.offer.capacity) && !demand.need.fitsInto(freeCapacity(agent))
        && m_health.standing(NodeId::fromName(agent.name), now).allowance > 0;
}

std::vector<SendOnLink> AgentRegistry::requestCapacity(const std::vector<CapacityDemand> &demands, Instant now)
{
    std::vector<SendOnLink> messages;
    std::vector<std::size_t> asked(demands.size()); // agents, for each demand
    reviewRequests(demands, now, asked, messages);
    addRequests(demands, now, asked, messages);
    return messages;
}

/** Withdraws what is wanted no more, and tells of a more or less urgent demand. */
void AgentRegistry::reviewRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages)
{
    for (auto &item : m_agents) {
        Agent &agent = item.second;
        if (agent.link == 0 || !agent.wanted) {
            continue;
        }
        const auto demand = std::find_if(demands.begin(), demands.end(), [&](const CapacityDemand &other) { return isWorthAsking(agent, other, now); });
        const auto position = static_cast<std::size_t>(demand - demands.begin());
        if (demand == demands.end() || asked[position] >= demand->tasks * requestsPerTask * tolerableRequests) {
            agent.wanted.reset();
            messages.push_back(SendOnLink{ agent.link, CapacityRequest{} });
            continue;
        }
        ++asked[position];
        const CapacityRequest wanted{ true, demand->priority, demand->need };
        if (agent.wanted->priority != wanted.priority) {
            agent.wanted = wanted;
            messages.push_back(SendOnLink{ agent.link, wanted });
        }
    }
}

/** Asks more agents where too few are asked, and declines the turns that were not used. */
void AgentRegistry::addRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages)
{
    std::vector<Agent *> others;
    for (auto &[node, agent] : m_agents) {
        if (agent.link != 0 && !agent.wanted) {
            others.push_back(&agent);
        }
    }
    // In any order: entries that all asked the same agents would leave the room of the others unused.
    std::shuffle(others.begin(), others.end(), m_random);
    for (Agent *agent : others) {
        for (std::size_t position = 0; position < demands.size() && !agent->wanted; ++position) {
            const CapacityDemand &demand = demands[position];
            if (asked[position] < demand.tasks * requestsPerTask && isWorthAsking(*agent, demand, now)) {
                ++asked[position];
                agent->wanted = CapacityRequest{ true, demand.priority, demand.need };
                agent->hasTurn = false; // the message ends the turn as well
                messages.push_back(SendOnLink{ agent->link, *agent->wanted });
            }
        }
        if (std::exchange(agent->hasTurn, false)) {
            messages.push_back(SendOnLink{ agent->link, CapacityRequest{} });
        }
    }
}

} // namespace lagoonroute
