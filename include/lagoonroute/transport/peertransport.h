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

/** Event that the transport reports to the decision thread. */
using PeerEvent = std::variant<MessageReceived, ConfigurationMessageReceived, ConnectionLost>;

/**
 * Sends and receives the messages of one process over TCP, on its own thread.
 *
 * The first message to a peer opens an outgoing connection to it. A connection that breaks is reported once as
 * ConnectionLost, and the next message opens a new one. While the inbound ring is full because the decision thread fell
 * behind, the transport stops reading, so that TCP flow control slows down the senders.
 */
class PeerTransport
{
public:
    /** Identity and address of the process. */
    struct Options
    {
        NodeId self;
        Incarnation incarnation = 0;
        NodeAddress address; /**< Address to listen on; port 0 selects a free port. */
        std::size_t ringCapacity = 8192; /**< Maximum number of queued messages in each direction. */

        Options withSelf(NodeId node, Incarnation nodeIncarnation) const;
        Options withAddress(NodeAddress listenAddress) const;
    };

    /** Opens the listener; `inboundSignal` is notified of every event. Throws NetworkError if that fails. */
    PeerTransport(const Options &options, WakeSignal &inboundSignal);
    ~PeerTransport();

    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;

    /** Address on which the transport listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Sets the address of a node; a change closes the connection to the old address. Called only on the decision thread. */
    void setPeer(NodeId node, const NodeAddress &peerAddress);

    /** Queues a message for sending. Returns false and discards it if the outbound ring is full. Called only on the decision thread. */
    bool send(NodeId to, PeerMessage message);

    /** Passes every pending event to `consume`. Called only on the decision thread. */
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
