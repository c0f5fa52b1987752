#pragma once

#include <lagoonroute/dispatch/events.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonroute
{

/**
 * Decides for the upstream beside this agent: the only way a task reaches it, so that none starts twice.
 *
 * A task is marked as started before its first byte is written. Results stay until the home acknowledges them. Tasks
 * that were refused, withdrawn or acknowledged are remembered for a time within which every late copy of their start
 * has arrived or been dropped with its connection; when that memory is full, new tasks are refused.
 */
class ExecutorCore
{
public:
    /** Creates the executor of one life of an agent. Incarnation zero takes messages for any life. */
    explicit ExecutorCore(NodeId self, Incarnation incarnation = 0);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of tasks that run at the upstream. */
    [[nodiscard]] std::size_t running() const noexcept
    {
        return m_running;
    }

    /** Number of tasks that wait, run or have a result that is not acknowledged. */
    [[nodiscard]] std::size_t held() const noexcept
    {
        return m_tasks.size();
    }

    /** Whether a planned stop was requested, nothing runs and every result is acknowledged. */
    [[nodiscard]] bool isDrained() const noexcept
    {
        return m_stopping && m_tasks.empty();
    }

private:
    using Actions = std::vector<AgentAction>;

    enum class Phase : std::uint8_t {
        Queued,
        Running,
        Finished,
    };

    struct Task
    {
        Phase phase = Phase::Queued;
        StartTask start; /**< Without its body once it runs. */
        Instant due; /**< Start-by time, time limit, or when the result is repeated. */
        Duration repeatDelay{ 0 };
        std::optional<TaskFinished> finished;
    };

    /** The home of a shard under the highest epoch known. */
    struct KnownHome
    {
        Epoch epoch = 0;
        NodeId node;
    };

    /** A task that must not start any more, or not again. */
    struct ClosedTask
    {
        std::pair<Epoch, std::uint32_t> attempt; /**< Starts up to this one are refused. */
        bool started = false; /**< Every start is ignored. */
        Instant until;
    };

    struct Upstream
    {
        UpstreamAnnounced offer;
        bool isPresent = false;
        std::size_t running = 0;
        Resources used;
        std::deque<TaskId> queue;
    };

    void receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions);
    void start(NodeId home, const StartTask &message, Instant now, Actions &actions);
    void withdraw(NodeId home, const WithdrawTasks &message, Instant now, Actions &actions);
    void recover(NodeId home, const RecoverTasks &message, Instant now, Actions &actions);
    void acknowledge(const AcknowledgeResults &message, Instant now);
    void loseConnection(NodeId peer, Instant now);
    void changeView(const ShardView &view, Actions &actions);
    void withdrawUpstream(const std::string &service, Instant now, Actions &actions);
    void stop(Instant now, Actions &actions);
    void elapse(Instant now, Actions &actions);

    [[nodiscard]] Reason refusalOf(const StartTask &message) const;
    [[nodiscard]] bool mayBegin(const Upstream &upstream, const Resources &need) const;
    [[nodiscard]] bool isMeant(Incarnation incarnation) const noexcept;
    bool acceptEpoch(const ShardKey &shard, Epoch epoch, NodeId home);
    void begin(Task &task, Instant now, Actions &actions);
    void beginQueued(Upstream &upstream, Instant now, Actions &actions);
    void refuseQueue(Upstream &upstream, Reason reason, Instant now, Actions &actions);
    void unqueue(const TaskId &id);
    void refuse(const StartTask &message, NodeId to, Reason reason, Instant now, Actions &actions);
    void endRun(Task &task);
    void finish(const TaskId &id, Reason failure, const TaskResult &result, Duration runTime, Instant now, Actions &actions);
    void breakOff(const UpstreamBroke &event, Instant now, Actions &actions);
    void sendResult(const Task &task, Actions &actions) const;
    void setDue(Task &task, Instant due);
    void close(const TaskId &id, std::pair<Epoch, std::uint32_t> attempt, bool started, Instant now);
    void erase(const TaskId &id);

    NodeId m_self;
    Incarnation m_incarnation;
    bool m_stopping = false;
    std::map<std::string, std::uint32_t> m_queueDepths;
    std::map<std::string, Upstream> m_upstreams;
    std::map<ShardKey, KnownHome> m_homes;
    std::unordered_map<TaskId, Task> m_tasks;
    std::set<std::pair<Instant, TaskId>> m_due;
    std::set<TaskId> m_unacknowledged;
    std::unordered_map<TaskId, ClosedTask> m_closed;
    std::deque<std::pair<Instant, TaskId>> m_closedOrder;
    std::size_t m_running = 0;
    std::size_t m_resultBytes = 0;
};

} // namespace lagoonroute
