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

/** Chooses whom to probe: round robin in an order that is drawn anew for every round. */
class ProbeOrder
{
public:
    /** Puts a member in front of the others. */
    void prefer(NodeId node);

    /** Returns the next member to probe, or none when this process is alone. */
    std::optional<NodeId> next(const MemberTable &members, NodeId self, std::mt19937_64 &random);

private:
    std::vector<NodeId> m_preferred;
    std::vector<NodeId> m_round; /**< The rest of the round; the next one is last. */
};

/** A probe without an answer so far. */
struct OpenProbe
{
    NodeId target;
    std::uint64_t sequence = 0;
    Instant askOthersAt;
    Instant deadline;
    bool askedOthers = false;
};

/** Probes that this process makes for others: who is to hear of the answer. */
class ProbeRelays
{
public:
    /** Where an answer is to go. */
    struct Asker
    {
        NodeId node;
        NodeAddress address;
        std::uint64_t sequence = 0;
        Instant until;
    };

    /** Remembers an asker for the answer to the probe of that sequence; beyond a bound the request is dropped. */
    bool add(std::uint64_t sequence, const Asker &asker, Instant now);

    /** Returns the asker, once, if the answer is not too late. */
    std::optional<Asker> take(std::uint64_t sequence, Instant now);

private:
    std::map<std::uint64_t, Asker> m_askers;
};

/** Returns up to `count` different members that are not dead, drawn at random, without the two given. */
std::vector<NodeId> drawMembers(const MemberTable &members, std::size_t count, NodeId self, NodeId other, std::mt19937_64 &random);

} // namespace lagoonroute
