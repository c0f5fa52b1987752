#pragma once

#include <lagoonroute/dispatch/dispatch.h>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute::test
{

/** What the network does to messages, in percent. */
struct Weather
{
    int lost = 0;
    int repeated = 0;
    int late = 0; /**< Up to half a second. */
    int upstreamFails = 0;
    int upstreamUnreached = 0; /**< The call breaks off before its first byte. */
};

/**
 * Entries and agents as real cores, joined by a message queue under a fake clock, with a view table that replaces
 * homes and mirrors which are down.
 *
 * Every random choice follows from the seed. What must always hold is checked on the way and ends up in violations().
 */
class CoreNetwork
{
public:
    CoreNetwork(std::size_t entries, std::size_t agents, std::uint64_t seed, Weather weather);
    ~CoreNetwork();

    /** Submits the job of that number, the same content each time, through an entry. */
    void submit(std::size_t job, std::size_t entry);
    void cancel(std::size_t job, std::size_t entry);
    void lookUp(std::size_t job, std::size_t entry);

    void crashEntry(std::size_t entry);
    void crash(std::size_t agent);
    void restart(std::size_t agent);
    void pause(std::size_t agent, Duration time);
    void stop(std::size_t agent);

    /** Lets the given time pass. */
    void run(Duration time);

    [[nodiscard]] const ShardView &view() const
    {
        return m_view;
    }

    [[nodiscard]] std::size_t agentIndex(NodeId node) const;
    [[nodiscard]] AgentCore &core(std::size_t agent);

    /** Answers to all requests for a job, in order. */
    [[nodiscard]] const std::vector<JobAnswer> &answers(std::size_t job);

    /** Starts of all tasks of a job. */
    [[nodiscard]] std::size_t starts(std::size_t job) const;

    /** Checks what must hold once everything has settled, and returns everything that did not hold. */
    std::vector<std::string> violations();

    static constexpr std::size_t tasksOf(std::size_t job)
    {
        return job % 4 + 1;
    }

private:
    struct Node;
    struct Request
    {
        std::size_t job = 0;
        NodeId entry;
        std::vector<JobAnswer> answers;
        bool abandoned = false;
        bool isSubmission = true;
    };
    using AnyEvent = std::variant<AgentEvent, EntryEvent>;
    struct Delivery
    {
        NodeId to;
        Incarnation life = 0; /**< Zero reaches any life. */
        AnyEvent event;
    };

    void deliver(const Delivery &delivery);
    void give(Node &node, const AnyEvent &event);
    void perform(Node &node, const AgentAction &action);
    void perform(Node &node, const EntryAction &action);
    void send(Node &from, const SendMessage &action);
    void call(Node &node, const CallUpstream &action);
    void after(Duration delay, NodeId to, Incarnation life, AnyEvent event);
    void toAgents(const AgentEvent &event);
    void announce(Node &node);
    void watchViews();
    void replaceView(ShardView next, bool promotes);
    [[nodiscard]] bool isDown(const Node &node) const;
    [[nodiscard]] NodeId spareAgent(NodeId besides);
    [[nodiscard]] bool chance(int percent);
    [[nodiscard]] Duration between(int fromMicros, int toMicros);
    std::uint64_t newRequest(std::size_t job, std::size_t entry, bool isSubmission);
    void violate(const std::string &text);

    std::mt19937_64 m_random;
    Weather m_weather;
    Instant m_now{ std::chrono::seconds(100) };
    ShardView m_view;
    std::vector<std::unique_ptr<Node>> m_agents;
    std::vector<std::unique_ptr<Node>> m_entries;
    std::map<NodeId, Node *> m_nodes;
    std::multimap<Instant, Delivery> m_queue;
    Instant m_nextWatch;
    std::map<std::uint64_t, Request> m_requests;
    std::map<JobId, std::size_t> m_jobs;
    std::map<TaskId, int> m_starts;
    std::map<std::size_t, std::vector<JobAnswer>> m_answers;
    std::set<std::string> m_violations;
};

} // namespace lagoonroute::test
