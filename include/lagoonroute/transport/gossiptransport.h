#pragma once

#include <lagoonroute/base/boundedring.h>
#include <lagoonroute/membership/membershipevents.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lagoonroute
{

/** Returns the bytes of a datagram: a version byte, then the message as cereal writes it, little-endian. */
std::string encodeGossip(const GossipMessage &message);

/** Returns the message in a datagram. Throws MalformedMessage when there is none, or of another version. */
GossipMessage decodeGossip(std::string_view bytes);

/** Counters of GossipTransport since its start. */
struct GossipTransportCounts
{
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; /**< Datagrams that were no gossip of this version; dropped. */
    std::uint64_t overflowed = 0; /**< Datagrams dropped because the deciding thread fell behind. */
    std::uint64_t sent = 0;
    std::uint64_t notSent = 0; /**< Datagrams that the operating system refused. */

    auto operator<=>(const GossipTransportCounts &) const = default;
};

/**
 * Sends and receives the gossip datagrams of one process over UDP, on a thread of its own.
 *
 * Datagrams may be lost, and the protocol expects it: a full ring drops them and counts it.
 */
class GossipTransport
{
public:
    /** Address and limits. */
    struct Options
    {
        NodeAddress address; /**< Where to listen; the same number as the TCP port of the process. Port 0 takes a free one. */
        std::size_t ringCapacity = 4096; /**< Datagrams that may wait in either direction. */

        Options withAddress(NodeAddress listenAddress) const;
    };

    /** Opens the socket; `inboundSignal` is notified of every datagram. Throws NetworkError when the address is taken. */
    GossipTransport(const Options &options, WakeSignal &inboundSignal);
    ~GossipTransport();

    GossipTransport(const GossipTransport &) = delete;
    GossipTransport &operator=(const GossipTransport &) = delete;

    /** Address at which the transport listens. */
    [[nodiscard]] NodeAddress address() const;

    /** Sends a datagram. Returns false, having sent nothing, when the ring is full. Called by the thread that decides only. */
    bool send(SendDatagram &&datagram);

    /** Passes what has arrived to `consume` as DatagramReceived. Called by the thread that decides only. */
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
