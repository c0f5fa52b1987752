#pragma once

#include "evidence.h"

#include <lagoonroute/membership/member.h>

#include <memory>

namespace lagoonroute::harness
{

/** How a stand-in upstream behaves from now on. */
enum class UpstreamMode : std::uint8_t {
    Working, /**< Answers after the work time that the task's body names. */
    FailingFast, /**< Answers with an error at once. */
    FailingAfterWork, /**< Does the work, then answers with an error. */
    NeverAnswering,
};

/**
 * Upstream of the tests: announces itself to its agent again and again, waits the work time that a task's body names,
 * and logs every start.
 */
class StandInUpstream
{
public:
    /** What the upstream offers. */
    struct Options
    {
        std::string name;
        std::string ip = "127.0.0.1";
        std::string service = "booking";
        std::uint16_t slots = 4;
        NodeAddress agent; /**< Where it announces itself. */
        std::optional<NodeAddress> announcedAddress; /**< Of a proxy in front of it, if any. */
    };

    /** Starts to serve and to announce itself. */
    StandInUpstream(const Options &options, StartLog &log);

    /** Ends at once, as a worker that dies: connections break, running tasks have no end. */
    ~StandInUpstream();

    StandInUpstream(const StandInUpstream &) = delete;
    StandInUpstream &operator=(const StandInUpstream &) = delete;

    /** Address at which tasks are taken. */
    [[nodiscard]] NodeAddress address() const;

    /** Announces itself at another address, that of a proxy. */
    void announceAt(const NodeAddress &address);

    /** Changes how later tasks are answered. */
    void setMode(UpstreamMode mode);

    /** Multiplies the work time of later tasks, as a straggler does. */
    void setSlowness(double factor);

    /** Tells whether the agent has accepted an announcement. */
    [[nodiscard]] bool isAnnounced() const;

    /** Stops announcing itself without a word. */
    void fallSilent();

    /** Withdraws its announcement; running tasks go on. */
    void leave();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
