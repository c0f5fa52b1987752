#pragma once

#include <lagoonroute/base/commonevents.h>
#include <lagoonroute/membership/gossipmessage.h>

#include <variant>
#include <vector>

namespace lagoonroute
{

/** A gossip datagram was received. */
struct DatagramReceived
{
    NodeAddress from;
    GossipMessage message;
};

/** The offers of this process, or the revision of the configuration in force at it, changed. */
struct LocalStateChanged
{
    std::vector<ServiceOffer> offers;
    Revision configurationRevision = 0;
};

/** Addresses at which members of the cell may be reached, from settings or from the store. Replaces earlier ones. */
struct ContactsUpdated
{
    std::vector<NodeAddress> addresses;
};

/** This process read a view from the platform's store; it has to be spread to the other members. */
struct ViewReadFromStore
{
    ShardView view;
};

/** A member may have failed, for example because a connection broke: it has to be probed next. */
struct ProbeRequested
{
    NodeId node;
};

/** A planned stop has begun: the other members have to learn that this process takes no new work. */
struct LeaveRequested
{
};

/** A planned stop is complete: the other members have to learn that this process is dead. */
struct LeaveCompleted
{
};

/** A gossip datagram to send; delivery is not guaranteed. */
struct SendDatagram
{
    NodeAddress to;
    GossipMessage message;
};

/** A member is new, or its description or status changed. */
struct MemberChanged
{
    Member member;
};

/**
 * This incarnation of a member is dead or replaced. The same incarnation may reappear when only the network had failed.
 */
struct MemberGone
{
    Member member;
};

/** A peer sent a newer view than this process had. */
struct NewerViewReceived
{
    ShardView view;
};

/** A higher incarnation of this process's identity exists: this process has to stop. */
struct SelfReplaced
{
    Incarnation incarnation = 0;
};

/** Event of MembershipCore. */
using MembershipEvent
    = std::variant<DatagramReceived, LocalStateChanged, ContactsUpdated, ViewReadFromStore, ProbeRequested, LeaveRequested, LeaveCompleted, TimeElapsed>;

/** Action of MembershipCore. */
using MembershipAction = std::variant<SendDatagram, MemberChanged, MemberGone, NewerViewReceived, SelfReplaced>;

} // namespace lagoonroute
