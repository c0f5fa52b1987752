#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/direct/reservationplan.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/direct/zonedrains.h>
#include <lagoonroute/placement/workerhealth.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Requirements of a task on the agent that is chosen for it. */
struct PlacementRequest
{
    std::string service;
    Resources need;
    std::string requiredLabel;
    std::string preferredLabel;
    std::vector<NodeId> excluded; /**< Agents where the task failed or must not go. */

    auto operator<=>(const PlacementRequest &) const = default;
};

/** Tasks of one service that wait for free capacity. */
struct CapacityDemand
{
    std::string service;
    std::string requiredLabel;
    std::uint32_t priority = 0; /**< Of the most urgent one. */
    Resources need; /**< Of the smallest one. */
    std::size_t tasks = 0;
    Duration expectedRunTime{ 0 }; /**< Of the smallest one; zero while capacity reservations are off. */

    auto operator<=>(const CapacityDemand &) const = default;
};

/** Tracks the agents of an entry: which are in contact, their free capacity, and the speed and health of each upstream. */
class AgentRegistry
{
public:
    /** Times and rules. */
    struct Options
    {
        std::uint64_t seed = 1; /**< Differs from entry to entry, so that they do not all choose the same agent. */
        std::string zone; /**< Of this entry; agents there are preferred among equals. */
        Duration suspectAfter = std::chrono::milliseconds(450); /**< Time without a heartbeat after which an agent is suspect; two heartbeats may be late. */
        Duration firstSuspension = std::chrono::milliseconds(500); /**< After a run stalled; long enough for a short disturbance to pass. */
        Duration longestSuspension = std::chrono::seconds(2); /**< Limits how late a healthy upstream is used again. */
        double slownessToSuspend = 2.5; /**< Multiple of the usual run time from which an upstream only gets single tasks; healthy ones differ by 1.6. */
        double nonPreferredFactor = 1.5; /**< Ratio of the run time without the preferred label to the run time with it. */
        EjectionRules ejection;
        StragglerRules straggler;

        Options withSeed(std::uint64_t number) const;
        Options withZone(std::string name) const;
    };

    /** State of one agent. */
    struct Agent
    {
        std::string name;
        std::string zone;
        Incarnation incarnation = 0;
        LinkFeatures features = 0; /**< As in its hello. */
        LinkId link = 0; /**< 0 while there is none. */
        AgentOffer offer;
        Resources free; /**< Free capacity as last announced. */
        std::uint64_t startsHandled = 0; /**< Starts of this link that the last announcement takes into account. */
        std::deque<Resources> unacknowledgedNeeds; /**< Needs of the starts that the last announcement does not take into account yet. */
        Instant lastHeartbeat;
        double slowness = 1; /**< Ratio of run times to the expected ones, smoothed. */
        std::size_t runs = 0; /**< Runs of this entry at the agent. */
        std::optional<CapacityRequest> capacityRequest; /**< Request that the agent has not answered yet with an exclusive notice. */
        bool hasExclusiveNotice = false; /**< Whether the agent announced its free capacity to this entry alone and waits for an answer. */
        bool isOnProbation = false; /**< Gets single tasks after `suspendedUntil`, until one shows that it is healthy again. */
        Instant suspendedUntil;
        Duration suspension{ 0 }; /**< Doubles with each suspension in a row. */
    };

    explicit AgentRegistry(Options options);

    /** Adds or updates the agent that sent its hello on a link. Returns its identity. */
    NodeId identify(LinkId link, const AgentHello &hello, Instant now);

    /** Handles a closed link. Returns the agent that used it, if any. */
    std::optional<NodeId> closeLink(LinkId link);

    /** Returns the agent of a link, or null. */
    Agent *byLink(LinkId link);

    /** Returns the agent, or null. */
    [[nodiscard]] const Agent *find(NodeId node) const;

    void setOffer(LinkId link, const AgentOffer &offer);
    void setFreeCapacity(LinkId link, const AgentFreeCapacity &capacity);
    void recordHeartbeat(LinkId link, Instant now);

    /** Removes an agent that has no link. */
    void remove(NodeId node);

    /** Sets the number of entries that choose among the same agents, including this one. */
    void setEntries(std::size_t count);

    /** Returns the best agent for a task out of a random sample of those where it fits now, or no value if it fits nowhere. */
    [[nodiscard]] std::optional<NodeId> choose(const PlacementRequest &request, Instant now);

    /** Sends capacity requests to some agents and withdraws those that are no longer needed. Returns the messages to send. */
    std::vector<SendOnLink> requestCapacity(const std::vector<CapacityDemand> &demands, Instant now, const ReservationRequests &reservations = {});

    /** Returns whether the agent knows reservations, and capacity that becomes free there would serve the demand. */
    [[nodiscard]] bool canReserve(NodeId node, const CapacityDemand &demand, Instant now) const;

    /** Returns the agents for which canReserve() holds, those with the most free capacity first, and equal ones in random order. */
    [[nodiscard]] std::vector<NodeId> reservationCandidates(const CapacityDemand &demand, Instant now);

    /** Records that a start was sent to the agent. */
    void startSent(NodeId node, const Resources &need);

    /** Records that the agent refused a start for lack of capacity; it counts as full until its next announcement. */
    void capacityRefused(NodeId node);

    /** Updates health and slowness of the agent from the end of a run. */
    void recordRunEnd(NodeId node, AttemptResult result, Duration runTime, Duration expected, Instant now);

    /** Updates the slowness of the agent from the ratio of a run time, or its forecast, to the expected one. The weight is from 0 to 1. */
    void observeSlowness(NodeId node, double ratio, double weight, Instant now);

    /** Suspends an agent where a run stalled: it gets no starts for a while, and then single ones. */
    void suspend(NodeId node, Instant now);

    /** Records that a run of this entry at the agent is over. */
    void runOver(NodeId node);

    /** Returns the capacity for new starts at an agent. */
    [[nodiscard]] static Resources freeCapacity(const Agent &agent);

    /** Returns whether any agent of the service is large enough, and has the label, to run such a task. */
    [[nodiscard]] bool couldFit(const PlacementRequest &request) const;

    /** Sets the zones where no task may be started: their agents are neither chosen nor counted as open. */
    void setDrains(ZoneDrains drains);

    /** Returns whether no task may be started at the agent because its zone is drained. */
    [[nodiscard]] bool isDrained(const Agent &agent) const;

    /** Returns whether agents could run such a task, but only agents in drained zones. */
    [[nodiscard]] bool fitsOnlyWhereDrained(const PlacementRequest &request) const;

    /** Number that changes with every change on which fitsOnlyWhereDrained() depends. */
    [[nodiscard]] std::uint64_t fitRevision() const noexcept
    {
        return m_fitRevision;
    }

    /** Returns the processors of all agents of a service that accept starts, in thousandths. */
    [[nodiscard]] std::uint64_t openCapacity(const std::string &service) const;

    /** Number of agents that accept starts. */
    [[nodiscard]] std::size_t openAgents() const;

    /** Returns the ratio of the usual run time at the agent to the expected one. */
    [[nodiscard]] double slowness(NodeId node) const;

    /** All agents. */
    [[nodiscard]] const std::map<NodeId, Agent> &agents() const noexcept
    {
        return m_agents;
    }

private:
    [[nodiscard]] bool isUsable(const Agent &agent, Instant now) const;
    [[nodiscard]] static bool matches(const AgentOffer &offer, const PlacementRequest &request);
    [[nodiscard]] bool shouldRequestFrom(const Agent &agent, const CapacityDemand &demand, Instant now) const;
    void updateProbation(Agent &agent, Instant now) const;

    [[nodiscard]] static CapacityRequest requestFor(const Agent &agent, const CapacityDemand &demand);
    void requestReservations(const ReservationRequests &reservations, std::vector<SendOnLink> &messages);
    void reviewRequests(const std::vector<CapacityDemand> &demands,
                        const ReservationRequests &reservations,
                        Instant now,
                        std::vector<std::size_t> &requested,
                        std::vector<SendOnLink> &messages);
    void addRequests(const std::vector<CapacityDemand> &demands, Instant now, std::vector<std::size_t> &requested, std::vector<SendOnLink> &messages);
    void declineNotices(std::vector<SendOnLink> &messages);
    [[nodiscard]] std::optional<double> costOf(NodeId node, const Agent &agent, const PlacementRequest &request, Instant now) const;

    Options m_options;
    std::minstd_rand m_random;
    double m_sampledShare = 1; // share of the agents that one choice considers
    std::map<NodeId, Agent> m_agents;
    std::map<LinkId, NodeId> m_byLink;
    bool m_hasOutstandingRequests = false; // whether any linked agent may have a capacity request or an exclusive notice
    WorkerHealth m_health;
    ZoneDrains m_drains;
    std::uint64_t m_fitRevision = 1;
};

} // namespace lagoonroute
