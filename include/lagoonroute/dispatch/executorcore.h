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
 * State machine that starts tasks at the upstream beside this agent. Every start passes through it, so no task starts
 * twice.
 *
 * A task is marked as started before its first byte is written. Results are retained until the home acknowledges them.
 * Refused, withdrawn and acknowledged tasks are retained as closed for long enough that every late copy of their start
 * order has arrived or been dropped with its connection. When the table of closed tasks is full, new tasks are refused.
 */
class ExecutorCore
{
public:
    /** Creates the executor of one incarnation of an agent. Incarnation zero accepts messages for any incarnation. */
    explicit ExecutorCore(NodeId self, Incarnation incarnation = 0);

    /** Handles one event and appends the resulting actions. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of tasks running at the upstream. */
    [[nodiscard]] std::size_t running() const noexcept
    {
        return m_running;
    }

    /** Number of tasks that are queued, running or have an unacknowledged result. */
    [[nodiscard]] std::size_t taskCount() const noexcept
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
        StartTask start; /**< The body is moved out when the run starts. */
        Instant due; /**< Latest start time while queued, time limit while running, next resend of the result once finished. */
        Duration resendDelay{ 0 };
        std::optional<TaskFinished> finished;
    };

    /** The home of a shard under the highest known epoch. */
    struct KnownHome
    {
        Epoch epoch = 0;
        NodeId node;
    };

    /** A task that must not start, or must not start again. */
    struct ClosedTask
    {
        std::pair<Epoch, std::uint32_t> attempt; /**< Start orders up to and including this attempt are refused. */
        bool started = false; /**< The task has run; all start orders are ignored. */
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
    void handleTimers(Instant now, Actions &actions);

    [[nodiscard]] Reason refusalOf(const StartTask &message) const;
    [[nodiscard]] bool hasFreeCapacity(const Upstream &upstream, const Resources &need) const;
    [[nodiscard]] bool isForThisIncarnation(Incarnation incarnation) const noexcept;
    bool acceptEpoch(const ShardKey &shard, Epoch epoch, NodeId home);
    void startRun(Task &task, Instant now, Actions &actions);
    void startQueued(Upstream &upstream, Instant now, Actions &actions);
    void refuseQueue(Upstream &upstream, Reason reason, Instant now, Actions &actions);
    void removeFromQueue(const TaskId &id);
    void refuse(const StartTask &message, NodeId to, Reason reason, Instant now, Actions &actions);
    void endRun(Task &task);
    void finish(const TaskId &id, Reason failure, const TaskResult &result, Duration runTime, Instant now, Actions &actions);
    void handleBrokenCall(const UpstreamCallBroken &event, Instant now, Actions &actions);
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
