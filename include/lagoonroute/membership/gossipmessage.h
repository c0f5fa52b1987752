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

/** Largest gossip datagram, in bytes. It fits into one Ethernet frame and so is not fragmented. */
inline constexpr std::size_t maxGossipBytes = 1400;

/** Status of one incarnation of a member, without its description. */
struct MemberStatusNotice
{
    NodeId id;
    Incarnation incarnation = 0;
    std::uint64_t version = 0;
    MemberStatus status = MemberStatus::Alive;

    auto operator<=>(const MemberStatusNotice &) const = default;
};

/** Requests a ProbeReply from the receiver. */
struct Probe
{
    std::uint64_t sequence = 0;

    auto operator<=>(const Probe &) const = default;
};

/** Reply to the probe with the same sequence number, sent directly or relayed by another member. */
struct ProbeReply
{
    std::uint64_t sequence = 0;

    auto operator<=>(const ProbeReply &) const = default;
};

/** Requests the receiver to probe a member that did not answer the sender. */
struct ProbeRequest
{
    std::uint64_t sequence = 0;
    NodeId target;
    NodeAddress address;

    auto operator<=>(const ProbeRequest &) const = default;
};

/** Has no content of its own: the datagram carries updates only. */
struct UpdatesOnly
{
    auto operator<=>(const UpdatesOnly &) const = default;
};

/** Marks a datagram with items that the receiver lacked according to its digest or request; it need not spread them. */
struct StateReply
{
    auto operator<=>(const StateReply &) const = default;
};

/** Kind of the items in a StateDigest or StateRequest. */
enum class DigestKind : std::uint8_t {
    Members,
    Views,
};

/**
 * Identity and version of one item that the sender has: id, incarnation and version of a member, or hash of the shard
 * key, epoch and 0 of a view.
 */
struct DigestItem
{
    std::uint64_t key = 0;
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    auto operator<=>(const DigestItem &) const = default;
};

/** All items that the sender has within a range of keys, in ascending order. Both ends belong to the range. */
struct StateDigest
{
    DigestKind kind = DigestKind::Members;
    std::uint64_t firstKey = 0;
    std::uint64_t lastKey = 0;
    std::vector<DigestItem> items;

    auto operator<=>(const StateDigest &) const = default;
};

/** Requests items that the sender lacks. */
struct StateRequest
{
    DigestKind kind = DigestKind::Members;
    std::vector<std::uint64_t> keys;

    auto operator<=>(const StateRequest &) const = default;
};

/** Content of a gossip datagram that depends on its purpose. */
using GossipBody = std::variant<Probe, ProbeReply, ProbeRequest, UpdatesOnly, StateReply, StateDigest, StateRequest>;

/** One gossip datagram. */
struct GossipMessage
{
    std::uint64_t cell = 0; /**< Hash of the cell's name; datagrams of other cells are dropped. */
    NodeId from;
    Incarnation incarnation = 0; /**< Of the sender. */
    NodeId to; /**< Invalid when the sender has only an address of the receiver. */
    std::uint64_t stateHash = 0; /**< Hash over the sender's live members and views. */
    Revision configurationRevision = 0; /**< In force at the sender. */
    GossipBody body = UpdatesOnly{};
    std::vector<MemberStatusNotice> notices;
    std::vector<Member> members;
    std::vector<ShardView> views;

    auto operator<=>(const GossipMessage &) const = default;
};

/** Size of a member in a gossip datagram, in bytes. */
std::size_t encodedSize(const Member &member);

/** Size of a view in a gossip datagram, in bytes. */
std::size_t encodedSize(const ShardView &view);

/** Size of a notice in a gossip datagram, in bytes. */
std::size_t encodedSize(const MemberStatusNotice &notice);

/** Size of a whole gossip datagram, in bytes, as the transport encodes it. */
std::size_t encodedSize(const GossipMessage &message);

} // namespace lagoonroute
