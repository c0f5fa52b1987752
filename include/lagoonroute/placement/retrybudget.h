#pragma once

#include <lagoonroute/placement/placementpolicy.h>
#include <lagoonroute/placement/taskdemand.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/** Token bucket that limits repeated placements to a share of new tasks, so that refusals can't multiply under overload. */
class RetryBudget
{
public:
    /** Limits of the budget and of the back-off. */
    struct Options
    {
        double share = 0.2; /**< Repeated placements per new task. */
        double minPerSecond = 2; /**< Repeated placements added per second regardless of new tasks, so that a service with little load recovers. */
        double capacity = 50; /**< Largest number of repeated placements that the budget accumulates. */
        Duration baseBackOff = std::chrono::milliseconds(5); /**< Doubled at each refusal of the same task. */
        Duration maxBackOff = std::chrono::seconds(1);

        Options &withShare(double value);
        Options &withRate(double perSecond, double maxSaved);
        Options &withBackOff(Duration base, Duration max);

        auto operator<=>(const Options &) const = default;
    };

    explicit RetryBudget(Options options);

    /** Sets the number of repeated placements per new task. */
    void setShare(double share);

    /** Credits the budget for a new task. */
    void earn();

    /** Takes one repeated placement from the budget. Returns false when the budget is exhausted. */
    bool spend(Instant now);

    /** Returns the exponential back-off before attempt number `refusals` + 1, with jitter. */
    [[nodiscard]] Duration backOff(std::uint32_t refusals, PlacementRandom &random) const;

private:
    Options m_options;
    double m_saved;
    Instant m_refilled;
};

/** Refused tasks that wait for their back-off and for the retry budget before they are queued again. */
class RetryQueue
{
public:
    explicit RetryQueue(RetryBudget::Options options);

    /** Retry budget; withdrawals from stragglers draw on it, too. */
    RetryBudget &budget() noexcept
    {
        return m_budget;
    }

    /** Records that a task was refused before it started. `enqueued` is the time at which it first entered the queue. */
    void recordRefusal(const TaskId &task, Instant enqueued);

    /** Returns whether a task was refused earlier and is not settled yet. */
    [[nodiscard]] bool wasRefused(const TaskId &task) const;

    /** Delays a refused task by its back-off. */
    void delay(TaskDemand task, Instant now, PlacementRandom &random);

    /**
     * Removes a task whose back-off is over and returns it with the time at which it first entered the queue.
     *
     * Returns nothing when no task is due. A due task is delayed again when the budget is exhausted.
     */
    std::optional<std::pair<TaskDemand, Instant>> takeDue(Instant now, PlacementRandom &random);

    /** Removes a task with its refusals. Returns false when it is not delayed. */
    bool remove(const TaskId &task);

    /** Discards the refusals of a settled task. */
    void discardRefusals(const TaskId &task);

    /** Removes every delayed task whose deadline has passed and appends it to `expired`. */
    void takeExpired(Instant now, std::vector<TaskId> &expired);

    /** Time at which the next delayed task is due or expires. */
    [[nodiscard]] std::optional<Instant> nextDue() const;

    /** Number of delayed tasks. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_delayed.size();
    }

private:
    struct Refusals
    {
        std::uint32_t count = 0;
        Instant enqueued;
        std::optional<Instant> due;
    };

    RetryBudget m_budget;
    std::unordered_map<TaskId, Refusals> m_refusals;
    std::map<std::pair<Instant, TaskId>, TaskDemand> m_delayed;
};

} // namespace lagoonroute
