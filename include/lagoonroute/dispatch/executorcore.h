#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/**
 * Decides for the upstream beside this agent: the only way a task reaches it, so that none starts twice.
 *
 * A task is marked as started before its first byte is written. Results stay until the home acknowledges them.
 */
class ExecutorCore
{
public:
    /** Creates the executor of the agent with the given identity. */
    explicit ExecutorCore(NodeId self);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of tasks that run at the upstream. */
    [[nodiscard]] std::size_t running() const noexcept;

private:
    struct StartedTask
    {
        ShardKey shard;
        Epoch epoch = 0;
        NodeId home;
        std::optional<TaskFinished> finished;
    };

    void start(NodeId home, const StartTask &message, std::vector<AgentAction> &actions);
    void finish(const TaskId &task, Reason failure, const TaskResult &result, Duration runTime, std::vector<AgentAction> &actions);

    NodeId m_self;
    bool m_stopping = false;
    std::map<std::string, UpstreamAnnounced> m_upstreams;
    std::map<ShardKey, Epoch> m_epochs;
    std::unordered_map<TaskId, StartedTask> m_tasks;
    std::size_t m_running = 0;
};

} // namespace lagoonroute
