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
 * Combines the cores of one agent: the executor of its upstream, and a home or mirror for each shard whose view names it.
 *
 * When a view makes the mirror the home, the mirror's records are promoted. If a view states that records were kept and
 * this process does not have them, no home is opened unless the view names this incarnation of the process. Messages
 * between cores of the same agent are delivered within the process.
 */
class AgentCore
{
public:
    /** Creates the cores of one incarnation of the agent; `seed` initialises the schedulers. */
    AgentCore(NodeId self, std::uint64_t seed, Incarnation incarnation = 0);

    /** Handles one event and appends the resulting actions. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The executor of this agent's upstream. */
    [[nodiscard]] const ExecutorCore &executor() const noexcept
    {
        return m_executor;
    }

    /** Shards for which this agent is the home. */
    [[nodiscard]] std::vector<ShardKey> homeShards() const;

    /** The home core of the shard at this agent, or null. */
    [[nodiscard]] const HomeCore *home(const ShardKey &shard) const;

    /**
     * Whether the mirror has a complete copy of the shard's records. At the home: whether the mirror has acknowledged
     * the full transfer. At the mirror: whether its own copy is complete. False at any other agent.
     */
    [[nodiscard]] bool isMirrorSynchronised(const ShardKey &shard) const;

    /** Whether a planned stop was requested, the executor is drained and no job of its homes is unanswered. */
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
    [[nodiscard]] bool mayOpenHome(const ShardView &view) const;
    ShardRecords takeRecords(const ShardView &view, Instant now);
    void closeHome(const ShardKey &shard, const std::optional<ShardView> &view, Actions &actions);
    void followProposal(const ShardView &view);
    void changeRules(const RulesChanged &event, Instant now, Actions &actions);
    void forwardToHomes(const std::string &service, const AgentEvent &event, Instant now, Actions &actions);
    void broadcast(const AgentEvent &event, Instant now, Actions &actions);

    NodeId m_self;
    std::uint64_t m_seed;
    Incarnation m_incarnation;
    bool m_stopping = false;
    ExecutorCore m_executor;
    std::map<std::string, ServiceRules> m_rules;
    std::map<std::string, std::map<NodeId, WorkerState>> m_workers;
    std::map<std::string, std::map<NodeId, Incarnation>> m_removedWorkers; /**< Latest incarnation that ended or withdrew its offer. */
    std::map<ShardKey, ShardView> m_views;
    std::map<ShardKey, StartsAllowed> m_startsAllowed;
    std::map<ShardKey, Epoch> m_proposedEpochs;
    std::optional<Duration> m_wallOffset; /**< Calendar time minus the time of this process. */
    std::map<ShardKey, MirrorCore> m_mirrors;
    std::map<ShardKey, std::unique_ptr<HomeCore>> m_homes;
};

} // namespace lagoonroute
