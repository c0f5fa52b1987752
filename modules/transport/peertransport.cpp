#include <lagoonroute/transport/peertransport.h>

#include "incomingpeer.h"
#include "loopsignal.h"
#include "outgoingpeer.h"

#include <lagoonroute/network/eventloop.h>
#include <lagoonroute/network/tcplistener.h>
#include <lagoonroute/transport/messagecodec.h>

#include <boost/endian/conversion.hpp>

#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonroute
{

namespace
{

using boost::asio::ip::tcp;

/** Returns the encoded message, preceded by its length in four bytes, big-endian. */
std::string encodeFrame(const Envelope &envelope)
{
    const std::string body = encodeMessage(envelope);
    std::string frame(sizeof(std::uint32_t), '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()), static_cast<std::uint32_t>(body.size()));
    frame += body;
    return frame;
}

/** Command of the decision thread to the event loop: sets the address of a peer. */
struct SetPeerAddress
{
    NodeId node;
    NodeAddress address;
};

/** Command of the decision thread to the event loop: sends a message to a peer. */
struct SendToPeer
{
    NodeId to;
    PeerMessage message;
};

using PeerCommand = std::variant<SendToPeer, SetPeerAddress>;

/** Returns the event that reports a received message. */
PeerEvent toEvent(NodeId from, PeerMessage &&message)
{
    if (auto *dispatch = std::get_if<DispatchMessage>(&message)) {
        return MessageReceived{ from, std::move(*dispatch) };
    }
    return ConfigurationMessageReceived{ from, std::get<ConfigurationMessage>(std::move(message)) };
}

/** Returns the message of an event that toEvent() created. */
PeerMessage toMessage(PeerEvent &&event)
{
    if (auto *dispatch = std::get_if<MessageReceived>(&event)) {
        return std::move(dispatch->message);
    }
    return std::get<ConfigurationMessageReceived>(std::move(event)).message;
}

} // namespace

PeerTransport::Options PeerTransport::Options::withSelf(NodeId node, Incarnation nodeIncarnation) const
{
    Options changed = *this;
    changed.self = node;
    changed.incarnation = nodeIncarnation;
    return changed;
}

PeerTransport::Options PeerTransport::Options::withAddress(NodeAddress listenAddress) const
{
    Options changed = *this;
    changed.address = std::move(listenAddress);
    return changed;
}

class PeerTransport::Implementation
{
public:
    Implementation(const Options &options, WakeSignal &inboundSignal)
        : m_options(options)
        , m_outboundSignal(m_loop.context(), [this] { executeCommands(); })
        , m_inbound(options.ringCapacity, inboundSignal)
        , m_outbound(options.ringCapacity, m_outboundSignal)
        , m_listener(m_loop.context(), options.address, [this](tcp::socket socket) { open(std::move(socket)); })
    {
        m_loop.start();
    }

    ~Implementation()
    {
        m_loop.stop();
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] NodeAddress address() const
    {
        return m_listener.address();
    }

    bool command(PeerCommand command)
    {
        return m_outbound.push(std::move(command));
    }

    BoundedRing<PeerEvent> &inbound()
    {
        return m_inbound;
    }

private:
    void open(tcp::socket socket)
    {
        std::make_shared<IncomingPeer>(std::move(socket), [this](Envelope &envelope) { return receive(envelope); })->start();
    }

    bool receive(Envelope &envelope)
    {
        if (envelope.to != m_options.self) {
            return true;
        }
        PeerEvent event = toEvent(envelope.from, std::move(envelope.message));
        if (m_inbound.offer(event)) {
            return true;
        }
        envelope.message = toMessage(std::move(event));
        return false;
    }

    void executeCommands()
    {
        reportLostConnections();
        m_outbound.drain([this](PeerCommand &&command) {
            if (const auto *set = std::get_if<SetPeerAddress>(&command)) {
                setAddress(*set);
            } else {
                send(std::get<SendToPeer>(std::move(command)));
            }
        });
    }

    void setAddress(const SetPeerAddress &set)
    {
        NodeAddress &known = m_addresses[set.node];
        if (known == set.address) {
            return;
        }
        known = set.address;
        const auto peer = m_peers.find(set.node);
        if (peer != m_peers.end()) {
            peer->second->close();
            m_peers.erase(peer);
            connectionLost(set.node);
        }
    }

    void send(SendToPeer &&message)
    {
        const NodeId to = message.to;
        const auto address = m_addresses.find(to);
        if (address == m_addresses.end()) {
            connectionLost(to);
            return;
        }
        auto peer = m_peers.find(to);
        if (peer == m_peers.end()) {
            const auto onLost = [this, to] {
                m_peers.erase(to);
                connectionLost(to);
            };
            peer = m_peers.emplace(to, std::make_shared<OutgoingPeer>(m_loop.context(), address->second, onLost)).first;
            peer->second->start();
        }
        const auto connection = peer->second;
        if (!connection->send(encodeFrame(Envelope{ m_options.self, m_options.incarnation, to, std::move(message.message) }))) {
            connection->close();
            m_peers.erase(to);
            connectionLost(to);
        }
    }

    void connectionLost(NodeId peer)
    {
        m_lostPeers.push_back(peer);
        reportLostConnections();
    }

    void reportLostConnections()
    {
        while (!m_lostPeers.empty() && m_inbound.push(ConnectionLost{ m_lostPeers.back() })) {
            m_lostPeers.pop_back();
        }
        if (!m_lostPeers.empty()) {
            m_outboundSignal.notify();
        }
    }

    Options m_options;
    EventLoop m_loop;
    LoopSignal m_outboundSignal;
    BoundedRing<PeerEvent> m_inbound;
    BoundedRing<PeerCommand, LoopSignal> m_outbound;
    TcpListener m_listener;
    std::unordered_map<NodeId, NodeAddress> m_addresses;
    std::unordered_map<NodeId, std::shared_ptr<OutgoingPeer>> m_peers;
    std::vector<NodeId> m_lostPeers;
};

PeerTransport::PeerTransport(const Options &options, WakeSignal &inboundSignal)
    : m_implementation(std::make_unique<Implementation>(options, inboundSignal))
{
}

PeerTransport::~PeerTransport() = default;

NodeAddress PeerTransport::address() const
{
    return m_implementation->address();
}

void PeerTransport::setPeer(NodeId node, const NodeAddress &peerAddress)
{
    m_implementation->command(SetPeerAddress{ node, peerAddress });
}

bool PeerTransport::send(NodeId to, PeerMessage message)
{
    return m_implementation->command(SendToPeer{ to, std::move(message) });
}

BoundedRing<PeerEvent> &PeerTransport::inbound()
{
    return m_implementation->inbound();
}

} // namespace lagoonroute
