#include <lagoonroute/direct/agentboard.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Agents asked for room for each task that waits, so that the first room to come free is among them with good odds. */
constexpr std::size_t wishesPerTask = 6;
/** Times the wishes that are needed, above which wishes are withdrawn: one that is not used costs the upstream a turn. */
constexpr std::size_t tolerableWishes = 2;

} // namespace

bool AgentBoard::isWorthAsking(const Agent &agent, const RoomWish &wish, Instant now) const
{
    const PlacementWish placement{ .service = wish.service, .need = wish.need, .requiredLabel = wish.requiredLabel };
    // Where the task would fit by what is known, it is kept out by something that more room would not change.
    return isUsable(agent, now) && matches(agent.offer, placement) && wish.need.fitsInto(agent.offer.capacity) && !wish.need.fitsInto(room(agent))
        && m_health.standing(NodeId::fromName(agent.name), now).allowance > 0;
}

std::vector<AgentBoard::RoomRequest> AgentBoard::requestRoom(const std::vector<RoomWish> &wishes, Instant now)
{
    std::vector<RoomRequest> requests;
    std::vector<std::size_t> kept(wishes.size());
    std::vector<Agent *> others;
    for (auto &[node, agent] : m_agents) {
        if (agent.link == 0) {
            continue;
        }
        if (!agent.wanted) {
            others.push_back(&agent);
            continue;
        }
        const auto wish = std::find_if(wishes.begin(), wishes.end(), [&](const RoomWish &other) { return isWorthAsking(agent, other, now); });
        const std::size_t position = static_cast<std::size_t>(wish - wishes.begin());
        if (wish == wishes.end() || kept[position] >= wish->tasks * wishesPerTask * tolerableWishes) {
            agent.wanted.reset();
            requests.push_back(RoomRequest{ agent.link, RoomWanted{} });
            continue;
        }
        ++kept[position];
        const RoomWanted wanted{ true, wish->priority, wish->need };
        if (agent.wanted->priority != wanted.priority) {
            agent.wanted = wanted;
            requests.push_back(RoomRequest{ agent.link, wanted });
        }
    }
    // In any order: entries that all asked the same agents would leave the room of the others unused.
    std::shuffle(others.begin(), others.end(), m_random);
    for (Agent *agent : others) {
        for (std::size_t position = 0; position < wishes.size(); ++position) {
            const RoomWish &wish = wishes[position];
            if (kept[position] < wish.tasks * wishesPerTask && isWorthAsking(*agent, wish, now)) {
                ++kept[position];
                agent->wanted = RoomWanted{ true, wish.priority, wish.need };
                agent->hasTurn = false;
                requests.push_back(RoomRequest{ agent->link, *agent->wanted });
                break;
            }
        }
        if (std::exchange(agent->hasTurn, false)) {
            requests.push_back(RoomRequest{ agent->link, RoomWanted{} }); // the room is for others
        }
    }
    return requests;
}

} // namespace lagoonroute
