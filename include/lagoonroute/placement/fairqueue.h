#pragma once

#include <lagoonroute/placement/taskdemand.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lagoonroute
{

/** A task in the queue with its estimated run time and time of arrival. */
struct WaitingTask
{
    TaskDemand demand;
    Duration estimate{ 0 }; /**< Expected run time. */
    Instant enqueued; /**< Time at which the task first entered the queue; retries keep it. */
};

/**
 * Queue of one service, fair among callers.
 *
 * Tasks are ordered by arrival time plus a small share of their estimated run time. A task whose deadline is closer than its estimated run time plus the
 * deadline margin is moved forward. Each caller has a virtual clock that advances with the slot time its tasks consume, scaled by the number and weight of the
 * competing callers. Once the clock is ahead of the arrival times by more than the tolerance, it delays the caller's tasks. As long as no caller exceeds its
 * share, the queue is therefore first come, first served, and next to a caller with a large backlog the others wait no longer than about the tolerance. The
 * clock of a caller without waiting tasks is reset at its next task, so that idle time earns no credit. All operations take O(log n) time.
 */
class FairQueue
{
public:
    /** How tasks are ordered. */
    struct Options
    {
        Duration deadlineMargin = std::chrono::seconds(2); /**< Tasks whose latest start time is further away than this are ordered by arrival. */
        Duration tolerance = std::chrono::seconds(1); /**< Lead that a caller's virtual clock may have before its tasks are delayed. */
        double sizeWeight = 0.03; /**< Share of the estimated run time that is added to a task's arrival time. */
        std::size_t scanLimit = 64; /**< Largest number of tasks that takeFirst() examines when the first ones are not accepted. */

        Options &withDeadlineMargin(Duration value);
        Options &withTolerance(Duration value);
        Options &withSizeWeight(double value);
        Options &withScanLimit(std::size_t value);

        auto operator<=>(const Options &) const = default;
    };

    /** Predicate that returns whether a task can be started now. */
    using Accepts = std::function<bool(const WaitingTask &)>;

    explicit FairQueue(Options options);
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /** Sets the weights of the named callers and the default weight of all others. */
    void setWeights(std::map<std::string, std::uint32_t> weights, std::uint32_t defaultWeight);

    /** Sets the number of slots that the callers share. */
    void setSlots(std::uint32_t slots);

    /** Adds a task. */
    void push(WaitingTask task);

    /** Removes and returns a task without charging its caller. Returns nothing when the task is not in the queue. */
    std::optional<WaitingTask> remove(const TaskId &task);

    /** Removes the first accepted task in fair order and charges its estimated run time to its caller. */
    std::optional<WaitingTask> takeFirst(const Accepts &accepts);

    /** Adjusts a caller's charge by the difference between the actual and the estimated run time. */
    void correctCharge(const std::string &caller, Duration difference);

    /** Removes and returns every task whose deadline has passed. */
    std::vector<TaskId> takeExpired(Instant now);

    /** Earliest deadline among the waiting tasks. */
    [[nodiscard]] std::optional<Instant> earliestDeadline() const;

    /** Number of waiting tasks. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** Sum of the estimates of the waiting tasks. */
    [[nodiscard]] Duration work() const noexcept;

    /** Number of waiting tasks of one caller. */
    [[nodiscard]] std::size_t sizeOf(const std::string &caller) const;

    /** Sum of the estimates of one caller's waiting tasks. */
    [[nodiscard]] Duration workOf(const std::string &caller) const;

    /** Weight of the given caller divided by the weight of all callers with waiting tasks, itself included: above 0, at most 1. */
    [[nodiscard]] double shareOf(const std::string &caller) const;

    /** As shareOf(), but with one more caller of the default weight: the share that a caller may use so that a new caller still gets its own. */
    [[nodiscard]] double boundedShareOf(const std::string &caller) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lagoonroute
