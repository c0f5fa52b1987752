#pragma once

#include <lagoonroute/placement/placementpolicy.h>
#include <lagoonroute/placement/taskdemand.h>

#include <map>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/** Limits repeated placements to a share of fresh work, so that refusals can't multiply under overload. */
class RetryBudget
{
public:
    /** Limits. */
    struct Options
    {
        double share = 0.2; /**< Repeated placements for each fresh task. */
        double minPerSecond = 2; /**< Earned by time alone, so that a quiet service recovers. */
        double capacity = 50; /**< Largest number saved up. */
        Duration baseBackOff = std::chrono::milliseconds(5); /**< Doubled at each refusal of the same task. */
        Duration maxBackOff = std::chrono::seconds(1);

        Options &withShare(double value);
        Options &withRate(double perSecond, double maxSaved);
        Options &withBackOff(Duration base, Duration max);

        auto operator<=>(const Options &) const = default;
    };

    explicit RetryBudget(Options options);

    /** Sets the repeated placements for each fresh task. */
    void setShare(double share);

    /** Counts a fresh task. */
    void earn();

    /** Takes one repeated placement from the budget. Returns false when it is used up. */
    bool spend(Instant now);

    /** Back-off before attempt number `refusals` + 1, with jitter. */
    [[nodiscard]] Duration backOff(std::uint32_t refusals, PlacementRandom &random) const;

private:
    Options m_options;
    double m_saved;
    Instant m_counted;
};

/** Refused tasks that wait for their back-off and for the budget before they queue again. */
class RetryQueue
{
public:
    explicit RetryQueue(RetryBudget::Options options);

    /** The budget, which straggler withdrawals share. */
    RetryBudget &budget() noexcept
    {
        return m_budget;
    }

    /** Remembers that a task was refused before it started. */
    void refused(const TaskId &task, Instant enqueued);

    /** Tells whether a task was refused before and is not settled yet. */
    [[nodiscard]] bool knows(const TaskId &task) const;

    /** Delays a task that was refused. */
    void delay(TaskDemand task, Instant now, PlacementRandom &random);

    /** Takes a task whose back-off is over, as far as the budget reaches, with the time at which it first queued. */
    std::optional<std::pair<TaskDemand, Instant>> takeDue(Instant now, PlacementRandom &random);

    /** Takes a delayed task out. Returns false when it is not delayed. */
    bool remove(const TaskId &task);

    /** Forgets the refusals of a task that is settled. */
    void forget(const TaskId &task);

    /** Takes every delayed task whose deadline has passed. */
    void takeExpired(Instant now, std::vector<TaskId> &expired);

    /** When the next delayed task is due or expires. */
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
