#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/placement/workerhealth.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute
{

/** What a task asks of the agent that is chosen for it. */
struct PlacementRequest
{
    std::string service;
    Resources need;
    std::string requiredLabel;
    std::string preferredLabel;
    std::vector<NodeId> excluded; /**< Agents where the task failed or must not go. */

    auto operator<=>(const PlacementRequest &) const = default;
};

/** Tasks of one service that wait for room. */
struct CapacityDemand
{
    std::string service;
    std::string requiredLabel;
    std::uint32_t priority = 0; /**< Of the most urgent one. */
    Resources need; /**< Of the smallest one. */
    std::size_t tasks = 0;

    auto operator<=>(const CapacityDemand &) const = default;
};

/** An entry's picture of the agents: who is in contact, how much room is left, and how fast and sound each upstream is. */
class AgentRegistry
{
public:
    /** Times and rules. */
    struct Options
    {
        std::uint64_t seed = 1; /**< Differs from entry to entry, so that they do not all choose the same agent. */
        std::string zone; /**< Of this entry; agents there are preferred among equals. */
        Duration suspectAfter = std::chrono::milliseconds(450); /**< Without a beat; two beats may be late. */
        Duration firstSuspension = std::chrono::milliseconds(500); /**< After a run stood still; long enough for a short trouble to pass. */
        Duration longestSuspension = std::chrono::seconds(2); /**< Bounds how late a sound upstream is used again. */
        double slownessToSuspend = 2.5; /**< Times the usual run time, from which an upstream only gets single tasks; sound ones differ by 1.6. */
        double farFactor = 1.5; /**< Run time away from the preferred label, against the run time there. */
        EjectionRules ejection;
        StragglerRules straggler;

        Options withSeed(std::uint64_t number) const;
        Options withZone(std::string name) const;
    };

    /** One agent. */
    struct Agent
    {
        std::string name;
        std::string zone;
        Incarnation incarnation = 0;
        LinkId link = 0; /**< 0 while there is none. */
        AgentOffer offer;
        Resources free; /**< As last stated. */
        std::uint64_t startsHandled = 0; /**< On this link. */
        std::deque<Resources> unhandled; /**< Needs of the starts that the stated room does not contain yet. */
        Instant lastBeat;
        double slowness = 1; /**< Run times against what is expected of them, smoothed. */
        std::size_t runs = 0; /**< Of this entry, at the agent. */
        std::optional<CapacityRequest> wanted; /**< What the agent was asked for and has not told yet. */
        bool hasTurn = false; /**< Whether the agent told its room to this entry alone and waits for an answer. */
        bool isOnProbation = false; /**< Gets single tasks after `suspendedUntil`, until one shows that it is sound again. */
        Instant suspendedUntil;
        Duration suspension{ 0 }; /**< Doubles with each suspension in a row. */
    };

    explicit AgentRegistry(Options options);

    /** An agent has greeted on a link. Returns its identity. */
    NodeId greet(LinkId link, const AgentHello &hello, Instant now);

    /** A link is gone. Returns the agent that had it. */
    std::optional<NodeId> closeLink(LinkId link);

    /** Returns the agent of a link, or null. */
    Agent *byLink(LinkId link);

    /** Returns the agent, or null. */
    [[nodiscard]] const Agent *find(NodeId node) const;

    void setOffer(LinkId link, const AgentOffer &offer);
    void setFreeCapacity(LinkId link, const AgentFreeCapacity &capacity);
    void beat(LinkId link, Instant now);

    /** Forgets an agent that has been without a link. */
    void forget(NodeId node);

    /** Number of entries that choose among the same agents, this one among them. */
    void setEntries(std::size_t count);

    /** Returns the best agent for a task now out of a random part of those where it fits, or nothing. */
    [[nodiscard]] std::optional<NodeId> choose(const PlacementRequest &request, Instant now);

    /** Asks some agents for room, and withdraws what is not wanted any more. Returns the messages to send. */
    std::vector<SendOnLink> requestCapacity(const std::vector<CapacityDemand> &demands, Instant now);

    /** Notes that a start was sent to the agent. */
    void startSent(NodeId node, const Resources &need);

    /** Notes that the agent refused a start for want of room; its room counts as taken until it states it again. */
    void capacityRefused(NodeId node);

    /** Learns from the end of a run. */
    void learn(NodeId node, AttemptResult result, Duration runTime, Duration expected, Instant now);

    /** Learns from the forecast of a run: how long it takes against what is expected, with the weight from 0 to 1 of that comparison. */
    void compare(NodeId node, double ratio, double weight, Instant now);

    /** A run at the agent stands still: it gets no starts for a while, and then single ones. */
    void suspend(NodeId node, Instant now);

    /** Notes that a run of this entry at the agent is over. */
    void runOver(NodeId node);

    /** Room for new starts at an agent. */
    [[nodiscard]] static Resources freeCapacity(const Agent &agent);

    /** Tells whether any agent of the service could ever run such a task. */
    [[nodiscard]] bool couldFit(const PlacementRequest &request) const;

    /** Processors of all agents of a service that take starts, in thousandths. */
    [[nodiscard]] std::uint64_t openCapacity(const std::string &service) const;

    /** Number of agents that take starts. */
    [[nodiscard]] std::size_t openAgents() const;

    /** Usual run time at the agent against the expected one. */
    [[nodiscard]] double slowness(NodeId node) const;

    /** All agents. */
    [[nodiscard]] const std::map<NodeId, Agent> &agents() const noexcept
    {
        return m_agents;
    }

private:
    [[nodiscard]] bool isUsable(const Agent &agent, Instant now) const;
    [[nodiscard]] static bool matches(const AgentOffer &offer, const PlacementRequest &request);
    [[nodiscard]] bool isWorthAsking(const Agent &agent, const CapacityDemand &demand, Instant now) const;
    void judge(Agent &agent, Instant now) const;

    void reviewRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages);
    void addRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &asked, std::vector<SendOnLink> &messages);
    [[nodiscard]] std::optional<double> costOf(NodeId node, const Agent &agent, const PlacementRequest &request, Instant now) const;

    Options m_options;
    std::minstd_rand m_random;
    double m_sampledPart = 1; // of the agents, looked at for one choice
    std::map<NodeId, Agent> m_agents;
    std::map<LinkId, NodeId> m_byLink;
    WorkerHealth m_health;
};

} // namespace lagoonroute
