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

/** Rank of a member for a key by rendezvous hash: the lowest comes first, and a join or death moves no other's rank. */
std::uint64_t rendezvousRank(std::string_view key, NodeId node);

/** Returns the first alive agent that offers the service of the shard. */
std::optional<NodeId> chooseHome(const ShardKey &shard, const LiveMembers &members);

/**
 * Returns the mirror for a home: an alive agent that offers the service too, in another zone if there is one, else in
 * another rack, else any other. Where no other agent offers the service, one that does not is taken.
 */
std::optional<NodeId> chooseMirror(const ShardKey &shard, const Member &home, const LiveMembers &members, NodeId excluded = {});

/** How far apart two members fail: 0 for another zone, 1 for another rack, 2 for the same rack. */
int placeDistance(const Member &left, const Member &right);

/** Tells whether the member is among the first `count` alive members of its zone for the key. */
bool isAmongFirst(std::string_view key, const Member &member, const LiveMembers &members, std::size_t count);

} // namespace lagoonroute
