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

/** Returns the message behind its length in four bytes, big-endian. */
std::string frameOf(const Envelope &envelope)
{
    const std::string body = encodeMessage(envelope);
    std::string frame(sizeof(std::uint32_t), '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(frame.data()), static_cast<std::uint32_t>(body.size()));
    frame += body;
    return frame;
}

/** What the deciding thread asks of the event loop. */
struct PeerAddressSet
{
    NodeId node;
    NodeAddress address;
};

/** A message for a peer. */
struct PeerSend
{
    NodeId to;
    PeerMessage message;
};

using PeerCommand = std::variant<PeerSend, PeerAddressSet>;

/** Returns the event of a message that has arrived. */
PeerEvent eventOf(NodeId from, PeerMessage &&message)
{
    if (auto *dispatch = std::get_if<DispatchMessage>(&message)) {
        return MessageReceived{ from, std::move(*dispatch) };
    }
    return ConfigurationMessageReceived{ from, std::get<ConfigurationMessage>(std::move(message)) };
}

/** Returns the message of an event that eventOf() made. */
PeerMessage messageOf(PeerEvent &&event)
{
    if (auto *dispatch = std::get_if<MessageReceived>(&event)) {
        return std::move(dispatch->message);
    }
    return std::get<ConfigurationMessageReceived>(std::move(event)).message;
}

} // namespace

PeerTransport::Options PeerTransport::Options::withSelf(NodeId node, Incarnation life) const
{
    Options changed = *this;
    changed.self = node;
    changed.incarnation = life;
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
        , m_outboundSignal(m_loop.context(), [this] { carryOut(); })
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
        PeerEvent event = eventOf(envelope.from, std::move(envelope.message));
        if (m_inbound.offer(event)) {
            return true;
        }
        envelope.message = messageOf(std::move(event));
        return false;
    }

    void carryOut()
    {
        reportLost();
        m_outbound.drain([this](PeerCommand &&command) {
            if (const auto *set = std::get_if<PeerAddressSet>(&command)) {
                setAddress(*set);
            } else {
                send(std::get<PeerSend>(std::move(command)));
            }
        });
    }

    void setAddress(const PeerAddressSet &set)
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
            lost(set.node);
        }
    }

    void send(PeerSend &&message)
    {
        const NodeId to = message.to;
        const auto address = m_addresses.find(to);
        if (address == m_addresses.end()) {
            lost(to);
            return;
        }
        auto peer = m_peers.find(to);
        if (peer == m_peers.end()) {
            const auto onLost = [this, to] {
                m_peers.erase(to);
                lost(to);
            };
            peer = m_peers.emplace(to, std::make_shared<OutgoingPeer>(m_loop.context(), address->second, onLost)).first;
            peer->second->start();
        }
        const auto connection = peer->second;
        if (!connection->send(frameOf(Envelope{ m_options.self, m_options.incarnation, to, std::move(message.message) }))) {
            connection->close();
            m_peers.erase(to);
            lost(to);
        }
    }

    void lost(NodeId peer)
    {
        m_lost.push_back(peer);
        reportLost();
    }

    void reportLost()
    {
        while (!m_lost.empty() && m_inbound.push(ConnectionLost{ m_lost.back() })) {
            m_lost.pop_back();
        }
        if (!m_lost.empty()) {
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
    std::vector<NodeId> m_lost;
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
    m_implementation->command(PeerAddressSet{ node, peerAddress });
}

bool PeerTransport::send(NodeId to, PeerMessage message)
{
    return m_implementation->command(PeerSend{ to, std::move(message) });
}

BoundedRing<PeerEvent> &PeerTransport::inbound()
{
    return m_implementation->inbound();
}

} // namespace lagoonroute
