#include <lagoonroute/membership/memberchoice.h>

#include "membertable.h"

#include <algorithm>
#include <tuple>

namespace lagoonroute
{

namespace
{

bool offersService(const Member &member, const std::string &service)
{
    return std::any_of(member.offers.begin(), member.offers.end(), [&service](const ServiceOffer &offer) { return offer.service == service; });
}

bool isAliveAgent(const Member &member)
{
    return member.role == NodeRole::Agent && member.status == MemberStatus::Alive;
}

std::string rankKey(const ShardKey &shard)
{
    return shard.service + "#" + std::to_string(shard.shard);
}

} // namespace

std::uint64_t rendezvousRank(std::string_view key, NodeId node)
{
    return mixBits(Digest::of(key).low ^ mixBits(node.value));
}

int failureDomainOverlap(const Member &left, const Member &right)
{
    if (left.zone != right.zone) {
        return 0;
    }
    return left.rack != right.rack ? 1 : 2;
}

std::optional<NodeId> chooseHome(const ShardKey &shard, const LiveMembers &members)
{
    std::optional<NodeId> best;
    const std::string key = rankKey(shard);
    for (const auto &[id, member] : members) {
        const bool isCandidate = isAliveAgent(member) && offersService(member, shard.service);
        if (isCandidate && (!best || rendezvousRank(key, id) < rendezvousRank(key, *best))) {
            best = id;
        }
    }
    return best;
}

std::optional<NodeId> chooseMirror(const ShardKey &shard, const Member &home, const LiveMembers &members, NodeId excluded)
{
    std::optional<std::tuple<bool, int, std::uint64_t, NodeId>> best;
    const std::string key = rankKey(shard);
    for (const auto &[id, member] : members) {
        if (!isAliveAgent(member) || id == home.id || id == excluded) {
            continue;
        }
        const auto rank = std::tuple(!offersService(member, shard.service), failureDomainOverlap(home, member), rendezvousRank(key, id), id);
        if (!best || rank < *best) {
            best = rank;
        }
    }
    return best ? std::optional(std::get<NodeId>(*best)) : std::nullopt;
}

bool isAmongFirst(std::string_view key, const Member &member, const LiveMembers &members, std::size_t count)
{
    const std::uint64_t own = rendezvousRank(key, member.id);
    std::size_t before = 0;
    for (const auto &[id, other] : members) {
        const bool competes = id != member.id && other.zone == member.zone && other.status == MemberStatus::Alive;
        before += competes && rendezvousRank(key, id) < own ? 1 : 0;
    }
    return before < count;
}

} // namespace lagoonroute
