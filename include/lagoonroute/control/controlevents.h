#pragma once

#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/membership/membershipevents.h>
#include <lagoonroute/platform/storeport.h>

#include <variant>
#include <vector>

namespace lagoonroute
{

/** The services that the upstream beside this agent offers changed. */
struct OffersChanged
{
    std::vector<ServiceOffer> offers;
};

/** Where a node is to be reached. */
struct PeerAddressKnown
{
    NodeId node;
    NodeAddress address;
};

/** Event of ControlCore. */
using ControlEvent = std::variant<DatagramReceived, ContactsKnown, OffersChanged, ConnectionLost, LeaveRequested, LeaveCompleted, StoreReply, TimeElapsed>;

/** Action of ControlCore: what is sent, and what the cores of dispatch are told. */
using ControlAction
    = std::variant<SendDatagram, StoreCall, PeerAddressKnown, SelfReplaced, ViewChanged, ViewProposed, StartsAllowed, WorkerChanged, WorkerGone, RulesChanged>;

} // namespace lagoonroute
