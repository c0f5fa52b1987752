#pragma once

#include <lagoonroute/base/commonevents.h>
#include <lagoonroute/membership/gossipmessage.h>

#include <variant>
#include <vector>

namespace lagoonroute
{

/** A gossip datagram has arrived. */
struct DatagramReceived
{
    NodeAddress from;
    GossipMessage message;
};

/** What this process offers, or the configuration that it has in force, changed. */
struct LocalChanged
{
    std::vector<ServiceOffer> offers;
    Revision configurationRevision = 0;
};

/** Addresses at which members of the cell may be found, from settings or from the store. Replaces earlier ones. */
struct ContactsUpdated
{
    std::vector<NodeAddress> addresses;
};

/** This process knows a view from the platform's store; others are to learn it. */
struct ViewLearned
{
    ShardView view;
};

/** There is reason to doubt that a member is alive, for example a broken connection: probe it next. */
struct ProbeRequested
{
    NodeId node;
};

/** A planned stop has begun: announce that this process takes no new work. */
struct LeaveRequested
{
};

/** A planned stop is over: announce that this process is gone. */
struct LeaveCompleted
{
};

/** Send a gossip datagram; delivery is not certain. */
struct SendDatagram
{
    NodeAddress to;
    GossipMessage message;
};

/** A member is new, or what is known of it changed. */
struct MemberChanged
{
    Member member;
};

/** That life of a member is over. The same life may come back when the failure was of the network only. */
struct MemberGone
{
    Member member;
};

/** A peer knows a newer view than this process did. */
struct NewerViewReceived
{
    ShardView view;
};

/** A later life of this process's own identity is known: this one is to stop. */
struct SelfReplaced
{
    Incarnation incarnation = 0;
};

/** Event of MembershipCore. */
using MembershipEvent = std::variant<DatagramReceived, LocalChanged, ContactsUpdated, ViewLearned, ProbeRequested, LeaveRequested, LeaveCompleted, TimeElapsed>;

/** Action of MembershipCore. */
using MembershipAction = std::variant<SendDatagram, MemberChanged, MemberGone, NewerViewReceived, SelfReplaced>;

} // namespace lagoonroute
