#pragma once

#include <lagoonroute/configuration/configurationevents.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/membership/membershipevents.h>
#include <lagoonroute/membership/viewcore.h>
#include <lagoonroute/store/storeport.h>

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
struct PeerAddressUpdated
{
    NodeId node;
    NodeAddress address;
};

/** Event of ControlCore. */
using ControlEvent = std::variant<DatagramReceived,
                                  ConfigurationMessageReceived,
                                  StoreReply,
                                  ContactsUpdated,
                                  OffersChanged,
                                  ConnectionLost,
                                  MirrorSynchronised,
                                  DrainRequested,
                                  LeaveRequested,
                                  LeaveCompleted,
                                  TimeElapsed>;

/** Action of ControlCore: what is sent, and what the cores of dispatch and the adapters are told. */
using ControlAction = std::variant<SendDatagram,
                                   SendConfigurationMessage,
                                   StoreCall,
                                   PeerAddressUpdated,
                                   SelfReplaced,
                                   ViewChanged,
                                   ViewProposed,
                                   StartsAllowed,
                                   WorkerChanged,
                                   WorkerGone,
                                   RulesChanged,
                                   ServiceRemoved,
                                   RevisionInForce,
                                   AuditRecorded>;

} // namespace lagoonroute
