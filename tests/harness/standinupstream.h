#pragma once

#include "evidence.h"

#include <lagoonroute/membership/member.h>

#include <memory>

namespace lagoonroute::harness
{

/** How a stand-in upstream answers tasks. */
enum class UpstreamMode : std::uint8_t {
    Working, /**< Answers after the work time given in the task's body. */
    FailingFast, /**< Answers with an error immediately. */
    FailingAfterWork, /**< Answers with an error after the work time. */
    NeverAnswering,
};

/**
 * Stand-in for an upstream: announces itself to its agent periodically, answers each task after the work time given in
 * its body, and logs every start.
 */
class StandInUpstream
{
public:
    /** Name, service, capacity and addresses of the upstream. */
    struct Options
    {
        std::string name;
        std::string ip = "127.0.0.1";
        std::string service = "booking";
        std::uint16_t slots = 4;
        NodeAddress agent; /**< HTTP address of the agent that receives the announcements. */
        std::optional<NodeAddress> announcedAddress; /**< Address of a proxy in front of the upstream, if any. */
    };

    /** Starts the server and the periodic announcements. */
    StandInUpstream(const Options &options, StartLog &log);

    /** Terminates at once, as a crashed worker: closes connections, and logs no end for running tasks. */
    ~StandInUpstream();

    StandInUpstream(const StandInUpstream &) = delete;
    StandInUpstream &operator=(const StandInUpstream &) = delete;

    /** Address that accepts tasks. */
    [[nodiscard]] NodeAddress address() const;

    /** Changes the announced address, for example to that of a proxy. */
    void announceAt(const NodeAddress &address);

    /** Sets how tasks are answered from now on. */
    void setMode(UpstreamMode mode);

    /** Multiplies the work time of later tasks by the factor, to simulate a straggler. */
    void setSlowness(double factor);

    /** Returns whether the agent has accepted an announcement of the current address. */
    [[nodiscard]] bool isAnnounced() const;

    /** Stops the announcements without withdrawing. */
    void stopAnnouncing();

    /** Stops the announcements and withdraws the current one; running tasks continue. */
    void withdraw();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
