#pragma once

#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/dispatch/mirrorcore.h>

#include <memory>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * State machine of the home of one shard: records jobs, places their tasks, collects the results and answers the callers.
 *
 * With a mirror, no task starts before the mirror has acknowledged the job and the assignment under the same epoch.
 * Without one, tasks start only while the latest StartsAllowed event permits it.
 */
class HomeCore
{
public:
    /** Bounds of the stored records. New jobs beyond them are refused; no record is dropped within its retention window. */
    struct Limits
    {
        std::size_t records = 500'000; /**< Recorded jobs, including answered ones. */
        std::size_t bytes = 64U << 20U; /**< Bytes of request and answer bodies. */

        Limits &withRecords(std::size_t count);
        Limits &withBytes(std::size_t count);
    };

    /** Creates the home core of a shard without records; `seed` feeds the scheduler. */
    HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed);

    /** Creates the home core from the records of an earlier home. Worker events must be handled before recover(). */
    HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed, ShardRecords &&records, Instant now);

    ~HomeCore();
    HomeCore(const HomeCore &) = delete;
    HomeCore &operator=(const HomeCore &) = delete;

    /** Sets the bounds that apply to new records. */
    void setLimits(const Limits &limits);

    /** Queries the workers named in the records for the state of their tasks, under this home's epoch. */
    void recover(Instant now, std::vector<AgentAction> &actions);

    /** Handles one event and appends the resulting actions. */
    void handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions);

    /** Ends this home because another view is in force: redirects all waiting requests to the home of that view. */
    void stepDown(const std::optional<ShardView> &view, std::vector<AgentAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** View under which this home acts. */
    [[nodiscard]] const ShardView &view() const noexcept;

    /** Number of recorded jobs, including answered ones. */
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
