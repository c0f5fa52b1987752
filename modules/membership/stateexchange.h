#pragma once

#include "membertable.h"

#include <lagoonroute/membership/gossipmessage.h>

#include <map>
#include <vector>

namespace lagoonroute
{

/** The views of a process, by shard. */
using ViewTable = std::map<ShardKey, ShardView>;

/** Returns the key of a shard in a digest: a hash of its service and number. */
std::uint64_t digestKeyOf(const ShardKey &key);

/** Returns the hash of a view's key and epoch. */
std::uint64_t hashOf(const ShardView &view);

/**
 * Synchronises the states of two processes in datagrams of bounded size: one sends its digests, the other answers with
 * the items that the first lacks and requests those that it lacks itself.
 */
class StateExchange
{
public:
    /** Creates an exchange over tables that must outlive it. */
    StateExchange(const MemberTable &members, const ViewTable &views);

    /** Returns the digests of the whole state, up to a maximum number of datagrams. */
    [[nodiscard]] std::vector<GossipBody> digests() const;

    /** Returns datagrams with the items that the sender of the digest lacks, and a request for those that this process lacks. */
    [[nodiscard]] std::vector<GossipMessage> answer(const StateDigest &digest) const;

    /** Returns datagrams with the requested items. */
    [[nodiscard]] std::vector<GossipMessage> answer(const StateRequest &request) const;

private:
    [[nodiscard]] std::vector<GossipMessage> answerMembers(const StateDigest &digest) const;
    [[nodiscard]] std::vector<GossipMessage> answerViews(const StateDigest &digest) const;

    const MemberTable &m_members;
    const ViewTable &m_views;
};

} // namespace lagoonroute
