#pragma once

#include <lagoonroute/configuration/auditrecord.h>
#include <lagoonroute/configuration/configurationmessages.h>
#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/store/storeport.h>

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** A running process that takes part in the distribution of the configuration. */
struct ConfigurationPeer
{
    NodeId id;
    std::string zone;

    auto operator<=>(const ConfigurationPeer &) const = default;
};

/** The set of running processes changed; the list need not contain the receiving process itself. */
struct ConfigurationPeersChanged
{
    std::vector<ConfigurationPeer> peers;
};

/** Gossip reported the revision that a peer has in force. */
struct PeerRevisionSeen
{
    NodeId peer;
    Revision revision = 0;
};

/** A peer sent a message. */
struct ConfigurationMessageReceived
{
    NodeId from;
    ConfigurationMessage message;
};

/** A call to the platform's store was answered. */
struct ConfigurationStoreReplied
{
    StoreReply reply;
};

/** The time returned by nextWake() has been reached. */
struct ConfigurationTimeElapsed
{
};

/** Event processed by ConfigurationCore. */
using ConfigurationEvent
    = std::variant<ConfigurationPeersChanged, PeerRevisionSeen, ConfigurationMessageReceived, ConfigurationStoreReplied, ConfigurationTimeElapsed>;

/** Send a message to a peer. */
struct SendConfigurationMessage
{
    NodeId to;
    ConfigurationMessage message;
};

/** Call the platform's store; every call must be answered, a lost one with StoreStatus::Unknown. */
struct CallConfigurationStore
{
    StoreCall call;
};

/** Put these rules in force for the service that they name. */
struct ServiceRulesChanged
{
    ServiceRules rules;
};

/** Accept no new work for this service. */
struct ServiceRemoved
{
    std::string service;
};

/** This revision is now in force; the preceding actions contain its changed rules. */
struct RevisionInForce
{
    Revision revision = 0;
};

/** Write this record to the audit trail of the process. */
struct AuditRecorded
{
    AuditRecord record;
};

/** Action that the owner of ConfigurationCore has to perform. */
using ConfigurationAction = std::variant<SendConfigurationMessage, CallConfigurationStore, ServiceRulesChanged, ServiceRemoved, RevisionInForce, AuditRecorded>;

} // namespace lagoonroute
