#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/linkmessages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Capacity requests that reserve, by agent. */
using ReservationRequests = std::map<NodeId, CapacityRequest>;

/**
 * Decides for an entry when a waiting task reserves capacity, and at which agents. It reserves for one task at a time, at a
 * bounded number of agents, and elsewhere if a reservation did not help within a bounded time.
 */
class ReservationPlan
{
public:
    /** Bounds of reservations. */
    struct Options
    {
        /** Share of the time that the objective of a job leaves beside its run time after which the job reserves; the rest is for the wait at the agent. */
        double waitShare = 0.25;
        std::size_t maxAgents = 2; /**< Agents reserved at a time; each withholds capacity from the other entries. */
        /** Time after which a reservation is given up: two holds at the agent, so that one entry may come first there. */
        Duration longestReservation = std::chrono::milliseconds(250);
    };

    /** Task that reserves. */
    struct Demand
    {
        std::string job;
        std::uint32_t priority = 0;
        Resources need;
        Duration expectedRunTime{ 0 };

        auto operator<=>(const Demand &) const = default;
    };

    /** Which agents can be reserved for the task. */
    struct Candidates
    {
        std::function<bool(NodeId)> isSuitable; /**< Whether the agent can serve the task once it has room. */
        std::function<std::vector<NodeId>()> ranked; /**< All suitable agents, the best first. */
    };

    /** Totals since the process started. */
    struct Totals
    {
        std::uint64_t made = 0;
        std::uint64_t used = 0; /**< Ended by a start of the needed size at the agent. */
        std::uint64_t givenUp = 0; /**< Not used within the longest time. */

        auto operator<=>(const Totals &) const = default;
    };

    explicit ReservationPlan(Options options);

    /** Returns whether a job that arrived at the given time, and whose tasks take `runTime` one after the other, has waited long enough to reserve. */
    [[nodiscard]] bool isDue(Instant arrived, Instant objective, Duration runTime, Instant now) const;

    /** Withdraws reservations of another task, gives up old ones and makes new ones. Returns those to be in force. */
    ReservationRequests review(const std::optional<Demand> &demand, const Candidates &candidates, Instant now);

    /** Records a start at an agent, which ends the reservation there if the start is as large as the reserved need. */
    void startSent(NodeId agent, const Resources &need);

    /** Returns whether reservations for the job are in force. */
    [[nodiscard]] bool isReservedFor(const std::string &job) const
    {
        return !m_reservedAt.empty() && m_demand.job == job;
    }

    /** Returns whether no reservation is in force. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_reservedAt.empty();
    }

    [[nodiscard]] const Totals &totals() const noexcept
    {
        return m_totals;
    }

private:
    Options m_options;
    Demand m_demand;
    std::map<NodeId, Instant> m_reservedAt; // when each reservation was made
    std::vector<NodeId> m_givenUp; // agents where the last reservations for this task did not help
    Totals m_totals;
};

} // namespace lagoonroute
