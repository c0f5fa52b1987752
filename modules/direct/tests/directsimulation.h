#pragma once

#include "upstreammodel.h"

#include <lagoonroute/direct/direct.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * A deployment of direct entries and agents with their upstreams, under virtual time and by seed.
 *
 * The real cores run here; links, orders, hosts and client accounts are modelled, and so are their faults. What the
 * promises forbid is collected in `violations()`.
 */
class DirectSimulation
{
public:
    /** Size and times. */
    struct Options
    {
        std::size_t entries = 3;
        std::size_t agents = 11;
        Duration hop = std::chrono::milliseconds(1); /**< One way between two hosts. */
        Duration orderHop = std::chrono::microseconds(100); /**< One way between agent and upstream. */
        Duration reportInterval = std::chrono::milliseconds(1500);
        std::uint64_t seed = 1;
        std::vector<double> speeds{ 0.8, 1.0, 1.25 };
        bool hasLargeUpstreams = true; /**< Every third upstream has half as much room again. */
        DirectEntryCore::Options entry;
    };

    /** What became of a submission. */
    struct Submission
    {
        std::string job;
        std::string route;
        std::size_t entry = 0;
        Instant at;
        Duration work{ 0 }; /**< Of its longest task. */
        std::size_t tasks = 0;
        std::optional<Instant> answeredAt;
        DirectAnswer answer;
        Duration objective{ 0 };
        bool isPoison = false; /**< Its tasks always fail. */
        bool hasLeft = false; /**< Its client account closed the connection. */
    };

    explicit DirectSimulation(Options options);

    /** Lets time pass. */
    void runFor(Duration duration);

    [[nodiscard]] Instant now() const noexcept
    {
        return m_now;
    }

    /** Routes that the entries know from the start. */
    void setRoutes(const std::vector<RouteRule> &rules);

    /** Hands a job in; every task has the given true work. Returns the position in submissions(). */
    std::size_t submit(std::size_t entry, const std::string &route, const DirectJob &job, Duration work, Duration callerTimeout, bool alwaysFails = false);

    /** Hands the job of an earlier submission in again; as a rule its first connection is gone by then. */
    std::size_t submitAgain(std::size_t entry, std::size_t submission, Duration callerTimeout, bool hasLeft = true);

    /** The client account of a submission closes its connection. */
    void leave(std::size_t submission);

    [[nodiscard]] const std::vector<Submission> &submissions() const noexcept
    {
        return m_submissions;
    }

    void killEntry(std::size_t entry, Duration downFor);
    void killAgent(std::size_t agent, Duration downFor);
    void freezeEntry(std::size_t entry, Duration duration);
    void freezeAgent(std::size_t agent, Duration duration);
    void cutLink(std::size_t entry, std::size_t agent, Duration duration);
    void crashUpstream(std::size_t agent, Duration downFor);
    void slowUpstream(std::size_t agent, double factor, Duration duration);
    void failUpstream(std::size_t agent, Duration duration);
    void drainUpstream(std::size_t agent);

    /** Tells the agent that its upstream has left, while the upstream runs on: the notice of an earlier life comes late. */
    void tellThatUpstreamLeft(std::size_t agent);

    /** For a time, the share of orders to upstreams that get no answer, and are carried out 2 to 12 s later or at once. */
    void loseOrders(double share, bool carriedOutLate, Duration duration);

    /** What the promises forbid and was seen. */
    [[nodiscard]] const std::vector<std::string> &violations() const noexcept
    {
        return m_violations;
    }

    /** Decisions that the cores noted, by event. */
    [[nodiscard]] std::size_t notes(const std::string &event) const;

    /** Runs that started, by task. */
    [[nodiscard]] std::size_t starts(const DirectTaskId &task) const;

    /** Orders and messages so far. */
    [[nodiscard]] std::uint64_t messages() const noexcept
    {
        return m_messages;
    }

    /** Work of runs that did not end as done, in processor seconds. */
    [[nodiscard]] double wastedWork() const noexcept
    {
        return m_wastedWork;
    }

    DirectEntryCore &entryCore(std::size_t entry);
    UpstreamCore &agentCore(std::size_t agent);

private:
    struct Node
    {
        bool isUp = false;
        std::uint64_t life = 0;
        bool isFrozen = false;
        Instant frozenAt;
        std::deque<std::function<void()>> whileFrozen;
        std::optional<Instant> wake;
    };

    struct EntryHost : Node
    {
        std::unique_ptr<DirectEntryCore> core;
        EntryActions actions;
    };

    struct AgentHost : Node
    {
        std::unique_ptr<UpstreamCore> core;
        UpstreamActions actions;
        std::unique_ptr<UpstreamModel> upstream;
        bool isUpstreamUp = true;
        bool isDraining = false;
        std::uint64_t reports = 0;
        std::optional<UpstreamReport> kept; // in the store
        std::optional<Instant> upstreamWake;
        struct WaitingQuery
        {
            OrderStatusQuery order;
            std::uint64_t life = 0;
        };
        std::vector<WaitingQuery> queries;
    };

    struct Wire
    {
        std::size_t entry = 0;
        std::size_t agent = 0;
        bool entryOpen = true;
        bool agentOpen = true;
    };

    struct Event
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void at(Instant when, std::function<void()> action);
    void after(Duration delay, std::function<void()> action);
    template <typename Host>
    void onNode(Host &host, std::uint64_t life, std::function<void()> action);
    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void dial(std::size_t agent, std::size_t entry, std::uint64_t life);
    void closeWire(LinkId link, bool byEntry);
    void wakeEntry(std::size_t entry);
    void wakeAgent(std::size_t agent);
    void actEntry(std::size_t entry);
    void actAgent(std::size_t agent);
    void thaw(std::size_t index, bool isEntry);
    void toAgent(LinkId link, const LinkMessage &message);
    void toEntry(LinkId link, const LinkMessage &message);
    void order(std::size_t agent, const OrderStart &order);
    void order(std::size_t agent, const OrderStop &order);
    void order(std::size_t agent, const OrderStatusQuery &order);
    template <typename Answer>
    void answerOrder(std::size_t agent, std::uint64_t life, const Answer &answer);
    void upstreamChanged(std::size_t agent);
    void report(std::size_t agent);
    bool isCut(std::size_t entry, std::size_t agent) const;
    bool drawLostOrder();
    void noteStart(std::size_t agent, const DirectTaskId &task);
    void answered(const AnswerRequest &answer);
    void violate(const std::string &what);

    Options m_options;
    Instant m_now{ std::chrono::seconds(100) };
    std::mt19937_64 m_random;
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<EntryHost> m_entries;
    std::vector<AgentHost> m_agents;
    std::map<LinkId, Wire> m_wires;
    LinkId m_lastWire = 0;
    std::map<std::pair<std::size_t, std::size_t>, Instant> m_cuts;
    std::vector<RouteRule> m_rules;
    std::vector<Submission> m_submissions;
    std::map<RequestId, std::size_t> m_requests;
    std::map<std::string, UpstreamModel::TaskTruth> m_truth;
    std::map<std::string, DirectJob> m_jobs;
    std::map<DirectTaskId, std::size_t> m_starts;
    std::set<std::string> m_refusedJobs;
    std::map<std::string, std::size_t> m_notes;
    std::vector<std::string> m_violations;
    double m_lostShare = 0;
    bool m_isCarriedOutLate = false;
    std::uint64_t m_messages = 0;
    double m_wastedWork = 0;
};

template <typename Host>
void DirectSimulation::onNode(Host &host, std::uint64_t life, std::function<void()> action)
{
    if (!host.isUp || host.life != life) {
        return;
    }
    if (host.isFrozen) {
        host.whileFrozen.push_back(std::move(action));
        return;
    }
    action();
}

} // namespace lagoonroute
