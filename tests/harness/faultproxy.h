#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/member.h>

#include <memory>
#include <vector>

namespace lagoonroute::harness
{

/** What a proxy does to the traffic that passes it. */
struct Faults
{
    Duration delay{ 0 }; /**< Of every chunk and datagram, in either direction. */
    bool cut = false; /**< Breaks every connection, refuses new ones, drops datagrams. */
    bool halfOpen = false; /**< Keeps connections open and passes nothing on. */
    bool answersLost = false; /**< Passes requests on and breaks the connection when the answer comes. */
    std::size_t answerBytes = 0; /**< With `answersLost`, bytes of the answer that still pass. */
    std::vector<NodeAddress> unheard; /**< Datagrams from these addresses are dropped. */
    double datagramLoss = 0; /**< Share of datagrams dropped. */
    double datagramReorder = 0; /**< Share of datagrams that are held back until the next one has passed. */
};

/** Proxy for TCP and UDP in front of one process, with faults on command. */
class FaultProxy
{
public:
    /** Listens on a free port of the IP number, for TCP and UDP, and passes everything on to the target. */
    FaultProxy(const std::string &ip, const NodeAddress &target, std::uint64_t seed);
    ~FaultProxy();

    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /** Address that stands in for the target's. */
    [[nodiscard]] NodeAddress address() const;

    /** Sets the faults from now on, and returns when they are in force. */
    void setFaults(const Faults &faults);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
