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

std::vector<SendOnLink> AgentBoard::requestRoom(const std::vector<RoomWish> &wishes, Instant now)
{
    std::vector<SendOnLink> messages;
    std::vector<std::size_t> asked(wishes.size()); // agents, for each wish
    reviewRequests(wishes, now, asked, messages);
    addRequests(wishes, now, asked, messages);
    return messages;
}

/** Withdraws what is wanted no more, and tells of a more or less urgent wish. */
void AgentBoard::reviewRequests(const std::vector<RoomWish> &wishes, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages)
{
    for (auto &item : m_agents) {
        Agent &agent = item.second;
        if (agent.link == 0 || !agent.wanted) {
            continue;
        }
        const auto wish = std::find_if(wishes.begin(), wishes.end(), [&](const RoomWish &other) { return isWorthAsking(agent, other, now); });
        const auto position = static_cast<std::size_t>(wish - wishes.begin());
        if (wish == wishes.end() || asked[position] >= wish->tasks * wishesPerTask * tolerableWishes) {
            agent.wanted.reset();
            messages.push_back(SendOnLink{ agent.link, RoomWanted{} });
            continue;
        }
        ++asked[position];
        const RoomWanted wanted{ true, wish->priority, wish->need };
        if (agent.wanted->priority != wanted.priority) {
            agent.wanted = wanted;
            messages.push_back(SendOnLink{ agent.link, wanted });
        }
    }
}

/** Asks more agents where too few are asked, and declines the turns that were not used. */
void AgentBoard::addRequests(const std::vector<RoomWish> &wishes, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages)
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
        for (std::size_t position = 0; position < wishes.size() && !agent->wanted; ++position) {
            const RoomWish &wish = wishes[position];
            if (asked[position] < wish.tasks * wishesPerTask && isWorthAsking(*agent, wish, now)) {
                ++asked[position];
                agent->wanted = RoomWanted{ true, wish.priority, wish.need };
                agent->hasTurn = false; // the message ends the turn as well
                messages.push_back(SendOnLink{ agent->link, *agent->wanted });
            }
        }
        if (std::exchange(agent->hasTurn, false)) {
            messages.push_back(SendOnLink{ agent->link, RoomWanted{} });
        }
    }
}

} // namespace lagoonroute
