#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/capacityreservation.h>
#include <lagoonroute/direct/linkmessages.h>

#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Decides which entries are notified of the free capacity of an upstream, and when.
 *
 * If free capacity were announced to all entries, all would send starts, and all but a few would be refused. So while
 * little is free, it is announced only to as many entries as it suffices for. An entry that has tasks waiting sends a
 * capacity request and then gets an exclusive notice, the most urgent entry first.
 */
class CapacityAnnouncer
{
public:
    /** Intervals and limits of announcements. */
    struct Options
    {
        Duration interval = std::chrono::milliseconds(4); /**< Least time between two announcements on a link; about one decision and one round trip. */
        Duration plentyInterval = std::chrono::milliseconds(25); /**< The same while capacity is plentiful, when an outdated announcement does no harm. */
        std::uint32_t plentyDivisor = 4; /**< Capacity is plentiful when more than one part in this many of the upstream's processors is free. */
        double entriesPerStart = 1.5; /**< Entries notified at once for each start that fits into the free capacity: some have nothing to start. */
        /** Time for the start of an entry that got an exclusive notice: one round trip, and its own wait for the processor. */
        Duration exclusiveNoticeTimeout = std::chrono::milliseconds(8);
    };

    /** Announcement to be sent. */
    struct Announcement
    {
        LinkId link = 0;
        Resources free;
        bool isExclusive = false; /**< Whether this entry alone is notified. */

        auto operator<=>(const Announcement &) const = default;
    };

    explicit CapacityAnnouncer(Options options);

    /** Adds an entry, which is notified of free capacity from now on. */
    void open(LinkId link);

    /** Removes the entry of a closed link. */
    void close(LinkId link);

    /** Sets or withdraws the capacity request of an entry. Either way its exclusive notice ends. */
    void setRequest(LinkId link, const CapacityRequest &request, Instant now);

    /** Records that a start of an entry was handled, which ends its exclusive notice. */
    void startHandled(LinkId link, const Resources &need);

    /** Returns the announcements that are due. What is held back for one entry is not offered to others, except to more urgent requests. */
    std::vector<Announcement> due(const Resources &unused, const Resources &capacity, Instant now, const std::optional<CapacityHold> &hold = std::nullopt);

    /** Returns whether an entry has requested capacity for a more urgent priority than the given one. */
    [[nodiscard]] bool hasMoreUrgentRequest(std::uint32_t priority) const;

    /** Returns the time at which due() must be called next, unless an event comes first; determined by the last due(). */
    [[nodiscard]] std::optional<Instant> nextWake() const noexcept
    {
        return m_wake;
    }

private:
    struct Subscriber
    {
        bool hasHandledStarts = true; // whether starts of the entry were handled since the last announcement
        Instant announcedAt;
        Resources announced;
        std::optional<CapacityRequest> request;
        Instant requestedAt;
    };

    void endExclusiveNotice(LinkId link);
    [[nodiscard]] std::optional<LinkId> nextExclusiveLink(const Resources &free, const std::optional<CapacityHold> &hold, Instant now) const;
    [[nodiscard]] std::size_t subscriberLimit(const Resources &free) const;
    [[nodiscard]] std::vector<LinkId> subscribersWithoutCapacity(std::size_t count) const;
    void beginExclusiveNotice(const Resources &free, const std::optional<CapacityHold> &hold, Instant now, std::vector<Announcement> &announcements);
    void announce(LinkId link, const Resources &offered, bool isExclusive, Instant now, std::vector<Announcement> &announcements);

    Options m_options;
    std::map<LinkId, Subscriber> m_subscribers;
    double m_smoothedNeed = 0; // processors of a start, in thousandths, smoothed
    std::optional<LinkId> m_exclusiveLink; // entry that holds the exclusive notice
    Instant m_exclusiveUntil;
    LinkId m_nextSubscriber = 0; // where the round-robin over entries without announced capacity continues
    std::optional<Instant> m_wake;
};

} // namespace lagoonroute
