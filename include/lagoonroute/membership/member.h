#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/configuration/resources.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** IP number and port of a process; the same port serves TCP and UDP. */
struct NodeAddress
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const NodeAddress &) const = default;
};

/** What a process of the system does. */
enum class NodeRole : std::uint8_t {
    Entry,
    Agent,
};

/** What others believe about a member. */
enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect, /**< Did not answer; may still refute with a higher version, or is kept back after many failures. */
    Leaving, /**< Stops on purpose and takes no new work. */
    Dead,
};

/** A service that the upstream beside an agent offers. */
struct ServiceOffer
{
    std::string service;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    Resources capacity;

    auto operator<=>(const ServiceOffer &) const = default;
};

/** One process of the system as its peers know it. */
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
