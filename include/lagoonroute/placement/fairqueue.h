#pragma once

#include <lagoonroute/placement/taskdemand.h>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lagoonroute
{

/** A task that waits, with what the queue knows of it. */
struct WaitingTask
{
    TaskDemand demand;
    Duration estimate{ 0 }; /**< Run time that the estimator expects. */
    Instant enqueued; /**< When it first entered the queue. */
};

/**
 * Queue of one service, fair among callers.
 *
 * Tasks go by the time at which they came plus a small share of their estimated run time, or earlier where their deadline leaves less than the patience. Each
 * caller has a clock that advances with the slot time it is given, the faster the more callers compete for it; the clock holds its tasks back as soon as it
 * runs ahead of the others by more than the tolerance. So a service with no caller above its share is served first come, first served, and beside a caller with
 * a large backlog the others wait no longer than about the tolerance. A caller that comes back after a pause starts level with the others. All operations take
 * O(log n) time.
 */
class FairQueue
{
public:
    /** How tasks are ordered. */
    struct Options
    {
        Duration patience = std::chrono::seconds(2); /**< Tasks that need not start sooner go by arrival. */
        Duration tolerance = std::chrono::seconds(1); /**< Lead that a caller's clock may have. */
        double sizeWeight = 0.03; /**< Share of its estimated run time by which a task comes later. */
        std::size_t scanLimit = 64; /**< Tasks looked at before giving up, when those in front fit nowhere. */

        Options &withPatience(Duration value);
        Options &withTolerance(Duration value);
        Options &withSizeWeight(double value);
        Options &withScanLimit(std::size_t value);

        auto operator<=>(const Options &) const = default;
    };

    /** Tells whether a task can be started now. */
    using Accepts = std::function<bool(const WaitingTask &)>;

    explicit FairQueue(Options options);
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    /** Sets the callers' weights, and that of callers not named. */
    void setWeights(std::map<std::string, std::uint32_t> weights, std::uint32_t defaultWeight);

    /** Sets the number of slots that the callers share. */
    void setSlots(std::uint32_t slots);

    /** Adds a task. */
    void push(WaitingTask task);

    /** Takes a task out without charging its caller. Returns nothing when it does not wait. */
    std::optional<WaitingTask> remove(const TaskId &task);

    /** Takes the first task in fair order that is accepted, and charges its estimate to its caller. */
    std::optional<WaitingTask> takeFirst(const Accepts &accepts);

    /** Corrects what a caller was charged by the difference between the real and the estimated run time. */
    void correctCharge(const std::string &caller, Duration difference);

    /** Takes every task whose deadline has passed. */
    std::vector<TaskId> takeExpired(Instant now);

    /** Earliest deadline among the waiting tasks. */
    [[nodiscard]] std::optional<Instant> earliestDeadline() const;

    /** Number of tasks that wait. */
    [[nodiscard]] std::size_t size() const noexcept;

    /** Sum of the estimates of the waiting tasks. */
    [[nodiscard]] Duration work() const noexcept;

    /** Number of tasks of one caller that wait. */
    [[nodiscard]] std::size_t sizeOf(const std::string &caller) const;

    /** Sum of the estimates of one caller's waiting tasks. */
    [[nodiscard]] Duration workOf(const std::string &caller) const;

    /** Share of the given caller among the callers that wait, itself included, by weight: above 0, at most 1. */
    [[nodiscard]] double shareOf(const std::string &caller) const;

    /** As shareOf(), beside one more caller of the default weight: what a caller may hold so that a new one still finds room. */
    [[nodiscard]] double boundedShareOf(const std::string &caller) const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace lagoonroute
