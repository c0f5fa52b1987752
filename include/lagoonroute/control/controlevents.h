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

/** The address of a node was learned or confirmed. */
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

/** Action of ControlCore: messages and store calls to send, and notifications for the cores of dispatch and the adapters. */
using ControlAction = std::variant<SendDatagram,
                                   SendConfigurationMessage,
                                   StoreCall,
                                   PeerAddressUpdated,
                                   SelfReplaced,
                                   ViewChanged,
                                   ViewProposed,
                                   StartsAllowed,
                                   WorkerChanged,
                                   WorkerRemoved,
                                   RulesChanged,
                                   ServiceRemoved,
                                   RevisionInForce,
                                   AuditRecorded>;

} // namespace lagoonroute
