#pragma once

#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/dispatch/mirrorcore.h>

#include <memory>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Decides for one shard at its home: records jobs, places their tasks, gathers every result and answers.
 *
 * With a mirror, no task starts before the mirror acknowledged the job and the assignment under the same epoch. Without
 * one, tasks start only while StartsAllowed says so.
 */
class HomeCore
{
public:
    /** How much the home keeps. Beyond it, new jobs are refused; nothing is dropped within its retention window. */
    struct Limits
    {
        std::size_t records = 500'000; /**< Jobs recorded, answered ones included. */
        std::size_t bytes = 64U << 20U; /**< Bodies of requests and answers. */

        Limits &withRecords(std::size_t count);
        Limits &withBytes(std::size_t count);
    };

    /** Creates the home core of a shard without records; `seed` feeds the scheduler. */
    HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed);

    /** Creates it with the records that an earlier home left. Events about workers follow before recover(). */
    HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed, ShardRecords &&records, Instant now);

    ~HomeCore();
    HomeCore(const HomeCore &) = delete;
    HomeCore &operator=(const HomeCore &) = delete;

    /** Sets how much is kept from now on. */
    void setLimits(const Limits &limits);

    /** Asks the workers named in the records what became of their tasks, under this home's epoch. */
    void recover(Instant now, std::vector<AgentAction> &actions);

    /** Handles one event and appends the actions it calls for. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Ends this home because another view is in force: sends everyone who waits to the new one. */
    void stepDown(const std::optional<ShardView> &view, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** View under which the home decides. */
    [[nodiscard]] const ShardView &view() const noexcept;

    /** Number of jobs that are recorded, answered ones included. */
    [[nodiscard]] std::size_t jobCount() const noexcept;

    /** Number of jobs whose answer is not recorded yet. */
    [[nodiscard]] std::size_t unansweredJobCount() const noexcept;

    /** Whether the mirror has a complete copy of the records; false without a mirror. */
    [[nodiscard]] bool isMirrorSynchronised() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
