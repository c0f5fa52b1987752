#pragma once

#include <lagoonroute/dispatch/executorcore.h>
#include <lagoonroute/dispatch/homecore.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Joins the cores of one agent: the executor of its upstream and a home for each shard that its views name.
 *
 * Messages between cores of the same agent never leave it.
 */
class AgentCore
{
public:
    /** Creates the cores of the agent with the given identity; `seed` feeds the schedulers. */
    AgentCore(NodeId self, std::uint64_t seed);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The executor of this agent's upstream. */
    [[nodiscard]] const ExecutorCore &executor() const noexcept
    {
        return m_executor;
    }

private:
    using Actions = std::vector<AgentAction>;

    void route(const AgentEvent &event, Instant now, Actions &actions);
    void routeMessage(const MessageReceived &event, Instant now, Actions &actions);
    void changeView(const ShardView &view, Instant now, Actions &actions);
    void changeWorker(const WorkerChanged &event, Instant now, Actions &actions);
    void broadcast(const AgentEvent &event, Instant now, Actions &actions);

    NodeId m_self;
    std::uint64_t m_seed;
    ExecutorCore m_executor;
    std::map<std::string, ServiceRules> m_rules;
    std::map<std::string, std::map<NodeId, WorkerState>> m_workers;
    std::map<ShardKey, ShardView> m_views;
    std::map<ShardKey, std::unique_ptr<HomeCore>> m_homes;
};

} // namespace lagoonroute
