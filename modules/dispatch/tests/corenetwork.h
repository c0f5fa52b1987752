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

/** Faults that are injected into messages and upstream calls, in percent. */
struct NetworkFaults
{
    int lossPercent = 0;
    int duplicationPercent = 0;
    int delayPercent = 0; /**< Delayed by up to half a second. */
    int upstreamFailurePercent = 0;
    int upstreamUnreachablePercent = 0; /**< The call breaks before its first byte is written. */
};

/**
 * Simulated network of real entry and agent cores, connected by a message queue under a fake clock. A view table
 * replaces homes and mirrors that are down.
 *
 * Every random choice is derived from the seed. Invariants are checked during the run and reported by violations().
 */
class CoreNetwork
{
public:
    CoreNetwork(std::size_t entries, std::size_t agents, std::uint64_t seed, NetworkFaults faults);
    ~CoreNetwork();

    /** Submits the job of this number through an entry; its content is the same each time. */
    void submit(std::size_t job, std::size_t entry);
    void cancel(std::size_t job, std::size_t entry);
    void lookUp(std::size_t job, std::size_t entry);

    void crashEntry(std::size_t entry);
    void crash(std::size_t agent);
    void restart(std::size_t agent);
    void pause(std::size_t agent, Duration time);
    void stop(std::size_t agent);

    /** Advances the simulation by the given time. */
    void run(Duration time);

    [[nodiscard]] const ShardView &view() const
    {
        return m_view;
    }

    [[nodiscard]] std::size_t agentIndex(NodeId node) const;
    [[nodiscard]] AgentCore &core(std::size_t agent);

    /** Answers to all requests for a job, in order. */
    [[nodiscard]] const std::vector<JobAnswer> &answers(std::size_t job);

    /** Number of starts of all tasks of a job. */
    [[nodiscard]] std::size_t starts(std::size_t job) const;

    /** Checks the invariants of a settled network and returns all violations, including those found during the run. */
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
        Incarnation incarnation = 0; /**< Zero reaches any incarnation. */
        AnyEvent event;
    };

    void deliver(const Delivery &delivery);
    void handle(Node &node, const AnyEvent &event);
    void perform(Node &node, const AgentAction &action);
    void perform(Node &node, const EntryAction &action);
    void send(Node &from, const SendMessage &action);
    void call(Node &node, const CallUpstream &action);
    void after(Duration delay, NodeId to, Incarnation incarnation, AnyEvent event);
    void broadcastToAgents(const AgentEvent &event);
    void announce(Node &node);
    void watchViews();
    void replaceView(ShardView next, bool promotes);
    [[nodiscard]] bool isDown(const Node &node) const;
    [[nodiscard]] NodeId spareAgent(NodeId excluded);
    [[nodiscard]] bool chance(int percent);
    [[nodiscard]] Duration between(int fromMicros, int toMicros);
    std::uint64_t newRequest(std::size_t job, std::size_t entry, bool isSubmission);
    void addViolation(const std::string &text);

    std::mt19937_64 m_random;
    NetworkFaults m_faults;
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
