#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** IP address and port of a process; the same port serves TCP and UDP. */
struct NodeAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const NodeAddress &) const = default;
};

/** Role of a process in the system. */
enum class NodeRole : std::uint8_t {
    Entry,
    Agent,
};

/** Status of a member as its peers see it. */
enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect, /**< Did not answer and may still refute it with a higher version, or is damped after many failures. */
    Leaving, /**< Is in a planned stop and takes no new work. */
    Dead,
};

/** A service that an upstream announced to its agent. */
struct ServiceOffer
{
    std::string service;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    Resources capacity;

    auto operator<=>(const ServiceOffer &) const = default;
};

/** Description of one process of the system, as its peers hold it. */
struct Member
{
    NodeId id;
    std::string name;
    NodeRole role = NodeRole::Agent;
    Incarnation incarnation = 0;
    NodeAddress address;
    std::string zone;
    std::string rack;
    MemberStatus status = MemberStatus::Alive;
    std::vector<ServiceOffer> offers;
    Revision configurationRevision = 0;
    std::uint64_t version = 0; /**< Grows with every change of the member's own state within its incarnation. */

    auto operator<=>(const Member &) const = default;
};

} // namespace lagoonroute
