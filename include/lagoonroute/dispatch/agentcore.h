#pragma once

#include <lagoonroute/dispatch/executorcore.h>
#include <lagoonroute/dispatch/homecore.h>
#include <lagoonroute/dispatch/mirrorcore.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Joins the cores of one agent: the executor of its upstream, and a home or mirror for each shard whose view names it.
 *
 * A view that makes the mirror the home promotes its records. No home is opened for a view that claims kept records
 * which this process does not have, unless it names this life of the process. Messages between cores of the same agent never
 * leave it.
 */
class AgentCore
{
public:
    /** Creates the cores of one life of the agent; `seed` feeds the schedulers. */
    AgentCore(NodeId self, std::uint64_t seed, Incarnation incarnation = 0);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The executor of this agent's upstream. */
    [[nodiscard]] const ExecutorCore &executor() const noexcept
    {
        return m_executor;
    }

    /** Shards that this agent decides about. */
    [[nodiscard]] std::vector<ShardKey> homesHeld() const;

    /** The home of the shard at this agent, or null. */
    [[nodiscard]] const HomeCore *home(const ShardKey &shard) const;

    /**
     * Whether the mirror has a complete copy of the shard's records: at the home, as the mirror acknowledged it; at
     * the mirror, whether its own copy may be promoted. False at any other agent.
     */
    [[nodiscard]] bool isMirrorSynchronised(const ShardKey &shard) const;

    /** Whether a planned stop was requested, the executor is drained and no job of a home held here is unanswered. */
    [[nodiscard]] bool isDrained() const;

private:
    using Actions = std::vector<AgentAction>;

    [[nodiscard]] bool isHome(const ShardView &view) const noexcept;
    [[nodiscard]] bool isMirror(const ShardView &view) const noexcept;
    void route(const AgentEvent &event, Instant now, Actions &actions);
    void routeMessage(const MessageReceived &event, Instant now, Actions &actions);
    void routeRequest(const MessageReceived &event, const ShardKey &shard, Epoch epoch, const RequestId &request, Instant now, Actions &actions);
    void updateMirror(NodeId from, const UpdateMirror &message, Instant now, Actions &actions);
    void changeView(const ShardView &view, Instant now, Actions &actions);
    void openHome(const ShardView &view, Instant now, Actions &actions);
    [[nodiscard]] bool isPromotable(const ShardView &view) const;
    [[nodiscard]] bool mayOpen(const ShardView &view) const;
    ShardRecords takeRecords(const ShardView &view, Instant now);
    void closeHome(const ShardKey &shard, const std::optional<ShardView> &view, Actions &actions);
    void propose(const ShardView &view);
    void changeRules(const RulesChanged &event, Instant now, Actions &actions);
    void toHomes(const std::string &service, const AgentEvent &event, Instant now, Actions &actions);
    void broadcast(const AgentEvent &event, Instant now, Actions &actions);

    NodeId m_self;
    std::uint64_t m_seed;
    Incarnation m_incarnation;
    bool m_stopping = false;
    ExecutorCore m_executor;
    std::map<std::string, ServiceRules> m_rules;
    std::map<std::string, std::map<NodeId, WorkerState>> m_workers;
    std::map<std::string, std::map<NodeId, Incarnation>> m_goneWorkers; /**< Latest life that ended. */
    std::map<ShardKey, ShardView> m_views;
    std::map<ShardKey, StartsAllowed> m_startsAllowed;
    std::map<ShardKey, Epoch> m_proposals;
    std::optional<Duration> m_wallOffset; /**< Calendar time less the time of this process. */
    std::map<ShardKey, MirrorCore> m_mirrors;
    std::map<ShardKey, std::unique_ptr<HomeCore>> m_homes;
};

} // namespace lagoonroute
