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

/** A live process of the system, as far as the configuration is concerned. */
struct ConfigurationPeer
{
    NodeId id;
    std::string zone;

    auto operator<=>(const ConfigurationPeer &) const = default;
};

/** The live processes changed; the list need not contain the process itself. */
struct ConfigurationPeersChanged
{
    std::vector<ConfigurationPeer> peers;
};

/** Gossip showed which revision a peer has in force. */
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

/** The platform's store answered a call. */
struct ConfigurationStoreReplied
{
    StoreReply reply;
};

/** The time that nextWake() named has come. */
struct ConfigurationTimeElapsed
{
};

/** What ConfigurationCore takes in. */
using ConfigurationEvent
    = std::variant<ConfigurationPeersChanged, PeerRevisionSeen, ConfigurationMessageReceived, ConfigurationStoreReplied, ConfigurationTimeElapsed>;

/** Send a message to a peer. */
struct SendConfigurationMessage
{
    NodeId to;
    ConfigurationMessage message;
};

/** Call the platform's store; every call must be answered, a lost one as Unknown. */
struct CallConfigurationStore
{
    StoreCall call;
};

/** Put these rules in force for their service. */
struct ServiceRulesChanged
{
    ServiceRules rules;
};

/** Take no new work for this service. */
struct ServiceRemoved
{
    std::string service;
};

/** This revision is in force now; its rules were among the actions before. */
struct RevisionInForce
{
    Revision revision = 0;
};

/** Write this record to the audit trail of the process. */
struct AuditRecorded
{
    AuditRecord record;
};

/** What ConfigurationCore has its owner do. */
using ConfigurationAction = std::variant<SendConfigurationMessage, CallConfigurationStore, ServiceRulesChanged, ServiceRemoved, RevisionInForce, AuditRecorded>;

} // namespace lagoonroute
