#pragma once

#include <lagoonroute/base/shardview.h>
#include <lagoonroute/membership/member.h>

#include <map>
#include <optional>
#include <string_view>

namespace lagoonroute
{

/** The members that are not dead, by identity. */
using LiveMembers = std::map<NodeId, Member>;

/**
 * Returns the rank of a member for a key by rendezvous hash. The lowest rank comes first; the rank of a member does not
 * depend on which other members exist.
 */
std::uint64_t rendezvousRank(std::string_view key, NodeId node);

/** Returns the alive agent with the lowest rank that offers the service of the shard, or none. */
std::optional<NodeId> chooseHome(const ShardKey &shard, const LiveMembers &members);

/**
 * Returns the mirror for a home, or none: an alive agent other than the home and `excluded`. Agents that offer the
 * service come before those that do not, then agents in another zone before those in another rack before those in the
 * same rack, then lower ranks.
 */
std::optional<NodeId> chooseMirror(const ShardKey &shard, const Member &home, const LiveMembers &members, NodeId excluded = {});

/** Returns how many failure domains two members share: 0 in different zones, 1 in the same zone only, 2 in the same rack. */
int failureDomainOverlap(const Member &left, const Member &right);

/** Returns whether the member is among the first `count` alive members of its zone for the key. */
bool isAmongFirst(std::string_view key, const Member &member, const LiveMembers &members, std::size_t count);

} // namespace lagoonroute
