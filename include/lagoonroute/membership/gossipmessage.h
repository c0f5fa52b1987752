#pragma once

#include <lagoonroute/base/shardview.h>
#include <lagoonroute/membership/member.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Largest gossip datagram, in bytes; it crosses an Ethernet without fragments. */
inline constexpr std::size_t maxGossipBytes = 1400;

/** What is believed about one life of a member, without its description. */
struct MemberNotice
{
    NodeId id;
    Incarnation incarnation = 0;
    std::uint64_t version = 0;
    MemberStatus status = MemberStatus::Alive;

    auto operator<=>(const MemberNotice &) const = default;
};

/** Asks the addressee for a ProbeReply. */
struct Probe
{
    std::uint64_t sequence = 0;

    auto operator<=>(const Probe &) const = default;
};

/** The probe with that sequence arrived, directly or through another member. */
struct ProbeReply
{
    std::uint64_t sequence = 0;

    auto operator<=>(const ProbeReply &) const = default;
};

/** Asks the addressee to probe a member that did not answer the sender. */
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    NodeId target;
    NodeAddress address;

    auto operator<=>(const ProbeRequest &) const = default;
};

/** Carries updates only. */
struct UpdatesOnly
{
    auto operator<=>(const UpdatesOnly &) const = default;
};

/** Carries items that the addressee lacked according to its digest or request; they need no further spreading. */
struct StateAnswer
{
    auto operator<=>(const StateAnswer &) const = default;
};

/** What kind of items a StateDigest lists. */
enum class DigestKind : std::uint8_t {
    Members,
    Views,
};

/** One item that the sender has. Members: id, incarnation, version. Views: hash of the key, epoch, 0. */
struct DigestItem
{
    std::uint64_t key = 0;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    auto operator<=>(const DigestItem &) const = default;
};

/** Every item that the sender has within a range of keys, in ascending order. */
struct StateDigest
{
    DigestKind kind = DigestKind::Members;
    std::uint64_t firstKey = 0;
    std::uint64_t lastKey = 0;
    std::vector<DigestItem> items;

    auto operator<=>(const StateDigest &) const = default;
};

/** Asks the addressee for items that the sender lacks. */
struct StateRequest
{
    DigestKind kind = DigestKind::Members;
    std::vector<std::uint64_t> keys;

    auto operator<=>(const StateRequest &) const = default;
};

/** Purpose of a gossip datagram. */
using GossipBody = std::variant<Probe, ProbeReply, ProbeRequest, UpdatesOnly, StateAnswer, StateDigest, StateRequest>;

/** One gossip datagram. */
struct GossipMessage
{
    std::uint64_t cell = 0; /**< Hash of the cell's name; datagrams of other cells are dropped. */
    NodeId from;
    Incarnation incarnation = 0; /**< Life of the sender. */
    NodeId to; /**< Invalid when the sender knows just an address. */
    std::uint64_t stateHash = 0; /**< Hash over the members and views that the sender knows. */
    Revision configurationRevision = 0; /**< In force at the sender. */
    GossipBody body = UpdatesOnly{};
    std::vector<MemberNotice> notices;
    std::vector<Member> members;
    std::vector<ShardView> views;

    auto operator<=>(const GossipMessage &) const = default;
};

/** Size of a member in a gossip datagram, in bytes. */
std::size_t encodedSize(const Member &member);

/** Size of a view in a gossip datagram, in bytes. */
std::size_t encodedSize(const ShardView &view);

/** Size of a notice in a gossip datagram, in bytes. */
std::size_t encodedSize(const MemberNotice &notice);

/** Size of a whole gossip datagram, in bytes, as the transport encodes it. */
std::size_t encodedSize(const GossipMessage &message);

} // namespace lagoonroute
