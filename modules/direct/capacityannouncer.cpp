#include <lagoonroute/direct/capacityannouncer.h>

#include <algorithm>
#include <tuple>

namespace lagoonroute
{

namespace
{

/** Weight of one start in the smoothed need. */
constexpr double needGain = 0.1;

/** Returns the part of the free capacity that the request of an entry may use. */
Resources availableTo(LinkId link, const CapacityRequest &request, const Resources &free, const std::optional<CapacityHold> &hold, Instant now)
{
    return !hold || hold->link == link ? free : hold->availableTo(request, free, now);
}

} // namespace

CapacityAnnouncer::CapacityAnnouncer(Options options)
    : m_options(options)
{
}

void CapacityAnnouncer::open(LinkId link)
{
    m_subscribers[link] = Subscriber{};
}

void CapacityAnnouncer::close(LinkId link)
{
    endExclusiveNotice(link);
    m_subscribers.erase(link);
}

void CapacityAnnouncer::endExclusiveNotice(LinkId link)
{
    if (m_exclusiveLink == link) {
        m_exclusiveLink.reset();
    }
}

void CapacityAnnouncer::setRequest(LinkId link, const CapacityRequest &request, Instant now)
{
    const auto found = m_subscribers.find(link);
    if (found == m_subscribers.end()) {
        return;
    }
    endExclusiveNotice(link);
    Subscriber &subscriber = found->second;
    if (!request.hasWaitingTasks) {
        subscriber.request.reset();
        return;
    }
    if (!subscriber.request) {
        subscriber.requestedAt = now;
    }
    subscriber.request = request;
}

void CapacityAnnouncer::startHandled(LinkId link, const Resources &need)
{
    m_smoothedNeed += (static_cast<double>(need.cpuMillis) - m_smoothedNeed) * (m_smoothedNeed > 0 ? needGain : 1);
    endExclusiveNotice(link);
    const auto found = m_subscribers.find(link);
    if (found != m_subscribers.end()) {
        found->second.hasHandledStarts = true;
    }
}

/** Returns the number of entries that may be notified of the free capacity. */
std::size_t CapacityAnnouncer::subscriberLimit(const Resources &free) const
{
    if (m_smoothedNeed <= 0) {
        return m_subscribers.size();
    }
    return static_cast<std::size_t>(m_options.entriesPerStart * static_cast<double>(free.cpuMillis) / m_smoothedNeed);
}

bool CapacityAnnouncer::hasMoreUrgentRequest(std::uint32_t priority) const
{
    return std::any_of(
        m_subscribers.begin(), m_subscribers.end(), [priority](const auto &item) { return item.second.request && item.second.request->priority < priority; });
}

std::optional<LinkId> CapacityAnnouncer::nextExclusiveLink(const Resources &free, const std::optional<CapacityHold> &hold, Instant now) const
{
    std::optional<LinkId> best;
    std::tuple<std::uint32_t, bool, Instant> bestRank;
    for (const auto &[link, subscriber] : m_subscribers) {
        if (!subscriber.request || !subscriber.request->need.fitsInto(availableTo(link, *subscriber.request, free, hold, now))) {
            continue;
        }
        const bool isOther = hold && hold->link != link;
        const std::tuple rank(subscriber.request->priority, isOther, subscriber.requestedAt);
        if (!best || rank < bestRank) {
            best = link;
            bestRank = rank;
        }
    }
    return best;
}

std::vector<LinkId> CapacityAnnouncer::subscribersWithoutCapacity(std::size_t count) const
{
    std::vector<LinkId> waiting;
    for (const auto &[link, subscriber] : m_subscribers) {
        if (link != m_exclusiveLink && subscriber.announced == Resources{}) {
            waiting.push_back(link);
        }
    }
    const auto next = std::lower_bound(waiting.begin(), waiting.end(), m_nextSubscriber);
    std::rotate(waiting.begin(), next, waiting.end());
    waiting.resize(std::min(waiting.size(), count));
    return waiting;
}

void CapacityAnnouncer::announce(LinkId link, const Resources &offered, bool isExclusive, Instant now, std::vector<Announcement> &announcements)
{
    Subscriber &subscriber = m_subscribers[link];
    subscriber.announced = offered;
    subscriber.announcedAt = now;
    subscriber.hasHandledStarts = false;
    announcements.push_back(Announcement{ link, offered, isExclusive });
}

void CapacityAnnouncer::beginExclusiveNotice(const Resources &free,
                                             const std::optional<CapacityHold> &hold,
                                             Instant now,
                                             std::vector<Announcement> &announcements)
{
    if (m_exclusiveLink && now >= m_exclusiveUntil) {
        m_exclusiveLink.reset();
    }
    if (m_exclusiveLink) {
        return;
    }
    m_exclusiveLink = nextExclusiveLink(free, hold, now);
    if (m_exclusiveLink) {
        std::optional<CapacityRequest> &request = m_subscribers[*m_exclusiveLink].request;
        const Resources available = availableTo(*m_exclusiveLink, *request, free, hold, now);
        request.reset();
        m_exclusiveUntil = now + m_options.exclusiveNoticeTimeout;
        announce(*m_exclusiveLink, available, true, now, announcements);
    }
}

std::vector<CapacityAnnouncer::Announcement>
CapacityAnnouncer::due(const Resources &unused, const Resources &capacity, Instant now, const std::optional<CapacityHold> &hold)
{
    std::vector<Announcement> announcements;
    beginExclusiveNotice(unused, hold, now, announcements);
    const Resources &free = hold ? hold->spare : unused;
    m_wake = m_exclusiveLink ? std::optional(m_exclusiveUntil) : std::nullopt;
    const bool isPlenty = !m_exclusiveLink && free.cpuMillis > capacity.cpuMillis / m_options.plentyDivisor;
    const Duration interval = isPlenty ? m_options.plentyInterval : m_options.interval;
    const auto isLater = [&](const Subscriber &subscriber) {
        const Instant dueAt = subscriber.announcedAt + interval;
        if (now < dueAt) {
            m_wake = std::min(m_wake.value_or(dueAt), dueAt);
        }
        return now < dueAt;
    };
    // Capacity in an exclusive notice counts as taken for the other entries. Entries to which capacity was announced before
    // are notified first.
    std::size_t remaining = m_exclusiveLink ? 0 : subscriberLimit(free);
    for (auto &[link, subscriber] : m_subscribers) {
        if (link == m_exclusiveLink || subscriber.announced == Resources{}) {
            continue;
        }
        const Resources offered = remaining > 0 ? free : Resources{};
        remaining -= std::min<std::size_t>(remaining, 1);
        if ((subscriber.hasHandledStarts || subscriber.announced != offered) && !isLater(subscriber)) {
            announce(link, offered, false, now, announcements);
        }
    }
    for (const LinkId link : subscribersWithoutCapacity(free == Resources{} ? 0 : remaining)) {
        if (!isLater(m_subscribers[link])) {
            m_nextSubscriber = link + 1;
            announce(link, free, false, now, announcements);
        }
    }
    return announcements;
}

} // namespace lagoonroute
