#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/linkmessages.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** Free capacity of an upstream that is held back for one entry. */
struct CapacityHold
{
    LinkId link = 0; /**< Of the entry. */
    std::uint32_t priority = 0;
    Resources need; /**< Of the task that waits. */
    Resources spare; /**< Free capacity that others may use for any time without delaying the task. */
    Instant until; /**< When the need is expected to fit. */

    auto operator<=>(const CapacityHold &) const = default;

    /** Returns the part of the free capacity that a request of another entry may use. */
    [[nodiscard]] Resources availableTo(const CapacityRequest &request, const Resources &free, Instant now) const;
};

/** Run at an upstream whose end can be forecast. */
struct ExpectedRunEnd
{
    Instant at;
    Resources need;

    auto operator<=>(const ExpectedRunEnd &) const = default;
};

/**
 * Keeps the reservations that entries have made at an agent, and decides whether free capacity is held back for the first of
 * them: only if its need is expected to fit shortly, from the expected ends of the runs.
 */
class CapacityReservation
{
public:
    /** Limits of a hold. */
    struct Options
    {
        /** Longest time for which capacity is held back; a tenth of the run time of the longest kinds, and about three ends of runs at a full upstream. */
        Duration longestHold = std::chrono::milliseconds(100);
    };

    /** Totals since the process started. */
    struct Totals
    {
        std::uint64_t begun = 0; /**< Holds begun. */
        std::uint64_t used = 0; /**< Reservations for which a start of their need arrived. */
        std::uint64_t expired = 0; /**< Holds that ended because the need did not fit in time. */
        double heldProcessorSeconds = 0; /**< Free processors that were withheld from others, times the time. */

        auto operator<=>(const Totals &) const = default;
    };

    explicit CapacityReservation(Options options);

    /** Sets or ends the reservation of an entry, from its capacity request. An equal reservation keeps its age. */
    void setRequest(LinkId link, const CapacityRequest &request, Instant now);

    /** Ends the reservation of an entry whose link has closed. */
    void close(LinkId link, Instant now);

    /** Handles a start that was received on a link: one of the reserved need ends the reservation. */
    void startHandled(LinkId link, const Resources &need, Instant now);

    /** Handles an exclusive notice of capacity for the reserved need: the reservation is over unless the entry makes it again. */
    void noticeSent(LinkId link, Instant now);

    /** Returns whether there is any reservation, so that review() has an effect. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_reservations.empty();
    }

    /** Priority of the first reservation in order, if any that may still begin a hold. */
    [[nodiscard]] std::optional<std::uint32_t> firstPriority() const;

    /** Decides anew what is held back, given the expected ends of runs in any order. Without `mayHold` nothing is. */
    const std::optional<CapacityHold> &review(const Resources &free, std::vector<ExpectedRunEnd> ends, bool mayHold, Instant now);

    /** Returns the end of the current hold at the latest. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    [[nodiscard]] const Totals &totals() const noexcept
    {
        return m_totals;
    }

private:
    struct Reservation
    {
        std::uint32_t priority = 0;
        Resources need;
        Instant since;
        bool isExpired = false; // its hold has expired: none is begun again
    };

    using Reservations = std::map<LinkId, Reservation>;

    [[nodiscard]] Reservations::const_iterator first() const;
    void endHold(Instant now);
    void expire(Instant now);
    /** Adds the time since the last call to the capacity held back. */
    void account(Instant now);

    Options m_options;
    Reservations m_reservations;
    std::map<LinkId, Resources> m_noticed; // needs of the reservations that ended with an exclusive notice, until the next message
    std::optional<CapacityHold> m_hold;
    Instant m_holdEnd; // at the latest
    std::uint32_t m_heldMillis = 0; // processors that are withheld from others, in thousandths
    Instant m_accountedTo;
    Totals m_totals;
};

} // namespace lagoonroute
