#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/member.h>

#include <memory>
#include <vector>

namespace lagoonroute::harness
{

/** Faults that a proxy injects into the traffic. */
struct Faults
{
    Duration delay{ 0 }; /**< Delay of every TCP chunk in both directions, and of every datagram to the target. */
    bool cut = false; /**< Closes every connection, closes new ones at once and drops datagrams. */
    bool refused = false; /**< Resets every connection and refuses new ones; needs a port that no outgoing connection takes meanwhile. */
    bool halfOpen = false; /**< Leaves connections open but forwards nothing. */
    bool answersLost = false; /**< Forwards requests and closes the connection when the answer arrives. */
    std::size_t answerBytes = 0; /**< With `answersLost`, number of bytes of the answer that are still forwarded. */
    std::vector<NodeAddress> blockedSenders; /**< Datagrams from these addresses are dropped. */
    double datagramLoss = 0; /**< Fraction of datagrams that are dropped. */
    double datagramReorder = 0; /**< Fraction of datagrams that are delayed until the next one has been forwarded. */
};

/** TCP and UDP proxy in front of one process that injects faults. */
class FaultProxy
{
public:
    /** Listens on a port of the IP address for TCP and UDP, by default a free one, and forwards everything to the target. */
    FaultProxy(const std::string &ip, const NodeAddress &target, std::uint64_t seed, std::uint16_t port = 0);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Address at which the proxy listens, used instead of the target's. */
    [[nodiscard]] NodeAddress address() const;

    /** Replaces the injected faults. Returns when the new ones are in effect. */
    void setFaults(const Faults &faults);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
