#pragma once

#include "membertable.h"

#include <lagoonroute/membership/gossipmessage.h>

#include <map>
#include <vector>

namespace lagoonroute
{

/** The views that a process knows. */
using ViewTable = std::map<ShardKey, ShardView>;

/** Returns the number that stands for a shard in a digest. */
std::uint64_t digestKeyOf(const ShardKey &key);

/** Returns the hash of a view's key and epoch. */
std::uint64_t hashOf(const ShardView &view);

/**
 * Compares the states of two processes in bounded datagrams: one sends its digests, the other answers with what the
 * first lacks and asks for what it lacks itself.
 */
class StateExchange
{
public:
    /** Creates an exchange over tables that must outlive it. */
    StateExchange(const MemberTable &members, const ViewTable &views);

    /** Returns the bodies of datagrams that describe the whole state. */
    [[nodiscard]] std::vector<GossipBody> digests() const;

    /** Returns datagrams with what the sender of a digest lacks, and one with requests for what this process lacks. */
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
