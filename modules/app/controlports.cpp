#include "controlports.h"

namespace lagoonroute
{

namespace
{

/** Returns the address that others are told. */
NodeAddress advertisedAddress(const Settings &settings)
{
    return settings.advertise.port != 0 ? settings.advertise : settings.peer;
}

} // namespace

ControlPorts::ControlPorts(const Settings &settings, Incarnation incarnation, WakeSignal &signal)
    : m_peers(PeerTransport::Options().withSelf(NodeId::fromName(settings.node), incarnation).withAddress(settings.peer), signal)
    , m_gossip(GossipTransport::Options().withAddress(settings.peer), signal)
{
}

void ControlPorts::perform(ControlAction &&action)
{
    if (auto *datagram = std::get_if<SendDatagram>(&action)) {
        m_gossip.send(std::move(*datagram));
    } else if (const auto *peer = std::get_if<PeerAddressKnown>(&action)) {
        m_peers.setPeer(peer->node, peer->address);
    }
}

void ControlPorts::send(SendMessage &&message)
{
    m_peers.send(message.to, std::move(message.message));
}

NodeAddress ControlPorts::peerAddress() const
{
    return m_peers.address();
}

ControlCore::Options controlOptionsOf(const Settings &settings, NodeRole role, Incarnation incarnation)
{
    Member self;
    self.id = NodeId::fromName(settings.node);
    self.name = settings.node;
    self.role = role;
    self.incarnation = incarnation;
    self.address = advertisedAddress(settings);
    self.zone = settings.zone;
    self.rack = settings.rack;
    const auto membership = MembershipCore::Options().withSelf(std::move(self)).withCell(settings.cell).withSeed(incarnation);
    return ControlCore::Options().withMembership(membership);
}

} // namespace lagoonroute
