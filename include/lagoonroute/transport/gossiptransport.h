#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/membership/membershipevents.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lagoonroute
{

/** Encodes a message as a datagram: a version byte, then the message serialised by cereal, little-endian. */
std::string encodeGossip(const GossipMessage &message);

/** Decodes the message of a datagram. Throws MalformedMessage if the bytes are not exactly one message of this version. */
GossipMessage decodeGossip(std::string_view bytes);

/** Counters of a GossipTransport since it was created. */
struct GossipTransportCounts
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; /**< Received datagrams dropped because they could not be decoded. */
    std::uint64_t overflowed = 0; /**< Received datagrams dropped because the inbound ring was full: the decision thread fell behind. */
    std::uint64_t sent = 0;
    std::uint64_t notSent = 0; /**< Datagrams that could not be sent: the address is invalid or the operating system reported an error. */

    auto operator<=>(const GossipTransportCounts &) const = default;
};

/**
 * Sends and receives the gossip datagrams of one process over UDP, on its own thread.
 *
 * The gossip protocol tolerates lost datagrams. A received datagram that finds the inbound ring full is dropped and counted.
 */
class GossipTransport
{
public:
    /** Address and limits. */
    struct Options
    {
        NodeAddress address; /**< Address to listen on; the port number equals the TCP port of the process. Port 0 selects a free port. */
        std::size_t ringCapacity = 4096; /**< Maximum number of queued datagrams in each direction. */

        Options withAddress(NodeAddress listenAddress) const;
    };

    /** Opens the socket; `inboundSignal` is notified of every datagram. Throws NetworkError if the socket cannot be bound. */
    GossipTransport(const Options &options, WakeSignal &inboundSignal);
    ~GossipTransport();

    GossipTransport(const GossipTransport &) = delete;
    GossipTransport &operator=(const GossipTransport &) = delete;

    /** Address on which the transport listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Queues a datagram for sending. Returns false without queuing it if the outbound ring is full. Called only on the decision thread. */
    bool send(SendDatagram &&datagram);

    /** Passes every received datagram to `consume` as DatagramReceived. Called only on the decision thread. */
    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        inbound().drain(std::forward<Consumer>(consume));
    }

    /** Counters for metrics. Callable from any thread. */
    [[nodiscard]] GossipTransportCounts counts() const;

private:
    class Implementation;

    BoundedRing<DatagramReceived> &inbound();

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
