#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/configuration/configurationevents.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/membership/member.h>
#include <lagoonroute/transport/messagecodec.h>

#include <cstdint>
#include <memory>
#include <variant>

namespace lagoonroute
{

/** What the transport reports to the thread that decides. */
using PeerEvent = std::variant<MessageReceived, ConfigurationMessageReceived, ConnectionLost>;

/**
 * Sends and receives the messages of one process, on a thread of its own.
 *
 * There is one outgoing connection to each peer that was sent something. A connection that breaks is reported once as
 * ConnectionLost, and the next message opens a new one. When the thread that decides falls behind, the transport stops
 * reading, so that the senders wait.
 */
class PeerTransport
{
public:
    /** Identity and address of the process. */
    struct Options
    {
        NodeId self;
        Incarnation incarnation = 0;
        NodeAddress address; /**< Where to listen; port 0 takes a free one. */
        std::size_t ringCapacity = 8192; /**< Messages that may wait in either direction. */

        Options withSelf(NodeId node, Incarnation life) const;
        Options withAddress(NodeAddress listenAddress) const;
    };

    /** Opens the listener; `inboundSignal` is notified of every event. Throws NetworkError when the address is taken. */
    PeerTransport(const Options &options, WakeSignal &inboundSignal);
    ~PeerTransport();

    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /** Address at which the transport listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Sets where a node is to be reached. Called by the thread that decides only. */
    void setPeer(NodeId node, const NodeAddress &peerAddress);

    /** Sends a message. Returns false, having sent nothing, when the ring is full. Called by the thread that decides only. */
    bool send(NodeId to, PeerMessage message);

    /** Passes what has arrived to `consume`. Called by the thread that decides only. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        inbound().drain(std::forward<Consumer>(consume));
    }

private:
    class Implementation;

    BoundedRing<PeerEvent> &inbound();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
