#include "controlports.h"

namespace lagoonroute
{

namespace
{

/** Returns the address that is announced to other processes. */
NodeAddress advertisedAddress(const Settings &settings)
{
    return settings.advertise.port != 0 ? settings.advertise : settings.peer;
}

} // namespace

ControlPorts::ControlPorts(const Settings &settings, Incarnation incarnation, const std::shared_ptr<SharedStore> &store, WakeSignal &signal)
    : m_peers(PeerTransport::Options().withSelf(NodeId::fromName(settings.node), incarnation).withAddress(settings.peer), signal)
    , m_gossip(GossipTransport::Options().withAddress(settings.peer), signal)
{
    if (store) {
        m_memoryStore = std::make_unique<MemoryStore>(store, signal);
    } else if (settings.store.port != 0) {
        m_httpStore = std::make_unique<HttpStore>(HttpStore::Options().withServer(settings.store), signal);
    }
}

void ControlPorts::perform(ControlAction &&action)
{
    if (auto *datagram = std::get_if<SendDatagram>(&action)) {
        m_gossip.send(std::move(*datagram));
    } else if (const auto *peer = std::get_if<PeerAddressUpdated>(&action)) {
        m_peers.setPeer(peer->node, peer->address);
    } else if (auto *message = std::get_if<SendConfigurationMessage>(&action)) {
        m_peers.send(message->to, std::move(message->message));
    } else if (auto *call = std::get_if<StoreCall>(&action)) {
        callStore(std::move(*call));
    }
}

bool ControlPorts::callStore(StoreCall &&call)
{
    if (m_memoryStore) {
        return m_memoryStore->submit(std::move(call));
    }
    return m_httpStore && m_httpStore->submit(std::move(call));
}

void ControlPorts::send(SendMessage &&message)
{
    m_peers.send(message.to, std::move(message.message));
}

NodeAddress ControlPorts::peerAddress() const
{
    return m_peers.address();
}

bool usesStore(const Settings &settings, const std::shared_ptr<SharedStore> &store)
{
    return store != nullptr || settings.store.port != 0;
}

ControlCore::Options controlOptionsOf(const Settings &settings, NodeRole role, Incarnation incarnation, bool usesStore)
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
    const ControlCore::Options options = ControlCore::Options().withMembership(membership).withContacts(settings.contacts);
    return usesStore ? options.withStore(StoreClientCore::Options().withSeed(incarnation)) : options;
}

} // namespace lagoonroute
