#pragma once

#include "membertable.h"

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace lagoonroute
{

/** Chooses the members to probe: round robin, in a new random order for each round. */
class ProbeOrder
{
public:
    /** Queues a member to be probed before the rest of the round. */
    void prefer(NodeId node);

    /** Returns the next member to probe, or none if there is no other live member. */
    std::optional<NodeId> next(const MemberTable &members, NodeId self, std::mt19937_64 &random);

private:
    std::vector<NodeId> m_preferred;
    std::vector<NodeId> m_round; /**< The rest of the round; the next member is at the back. */
};

/** A probe that has not been answered yet. */
struct OpenProbe
{
    NodeId target;
    std::uint64_t sequence = 0;
    Instant sendRequestsAt; /**< When other members are requested to probe the target. */
    Instant deadline;
    bool hasSentRequests = false;
};

/** Probes that this process sends on behalf of other members, with the members that requested them. */
class ProbeRelays
{
public:
    /** A member to which a probe reply has to be relayed. */
    struct Requester
    {
        NodeId node;
        NodeAddress address;
        std::uint64_t sequence = 0;
        Instant until;
    };

    /** Stores the requester of the probe with that sequence number. Returns false if too many are stored. */
    bool add(std::uint64_t sequence, const Requester &requester, Instant now);

    /** Removes the requester and returns it unless its time limit has passed. */
    std::optional<Requester> take(std::uint64_t sequence, Instant now);

private:
    std::map<std::uint64_t, Requester> m_requesters;
};

/** Returns up to `count` different random members that are not dead, other than `self` and `other`. */
std::vector<NodeId> drawMembers(const MemberTable &members, std::size_t count, NodeId self, NodeId other, std::mt19937_64 &random);

} // namespace lagoonroute
