#include <lagoonroute/direct/upstreamcore.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

/** Least time between two log lines about expired holds. */
constexpr Duration noteInterval = std::chrono::seconds(1);

} // namespace

/** Returns the expected ends of the runs that neither stand still nor are overdue. */
std::vector<ExpectedRunEnd> UpstreamCore::expectedRunEnds(Instant now) const
{
    std::vector<ExpectedRunEnd> ends;
    ends.reserve(m_runs.size());
    for (const auto &[task, run] : m_runs) {
        if (run.phase != RunPhase::Running && run.phase != RunPhase::Starting) {
            continue;
        }
        const std::optional<Instant> &end = run.progress.hasForecast() ? run.progress.expectedEnd() : run.declaredEnd;
        if (end && now <= *end + m_options.busyQueryWait) {
            ends.push_back(ExpectedRunEnd{ *end, run.need });
        }
    }
    return ends;
}

const std::optional<CapacityHold> &UpstreamCore::reviewReservation(Instant now, UpstreamActions &actions)
{
    const std::uint64_t expired = m_reservation.totals().expired;
    const std::optional<std::uint32_t> priority = m_reservation.firstPriority();
    const bool mayHold = priority && isOpen() && !m_capacityAnnouncer.hasMoreUrgentRequest(*priority);
    const auto &hold = m_reservation.review(freeCapacity(), mayHold ? expectedRunEnds(now) : std::vector<ExpectedRunEnd>(), mayHold, now);
    if (m_reservation.totals().expired != expired && now >= m_nextReservationNote) {
        m_nextReservationNote = now + noteInterval;
        note(actions, "reservation-expired", m_options.node, std::to_string(m_reservation.totals().expired) + " holds since the start");
    }
    return hold;
}

void UpstreamCore::announceFreeCapacity(Instant now, UpstreamActions &actions)
{
    const std::optional<CapacityHold> hold = m_reservation.isEmpty() ? std::nullopt : reviewReservation(now, actions);
    for (const CapacityAnnouncer::Announcement &announcement : m_capacityAnnouncer.due(freeCapacity(), m_report.capacity, now, hold)) {
        if (announcement.isExclusive) {
            m_reservation.noticeSent(announcement.link, now);
        }
        actions.emplace_back(
            SendOnLink{ announcement.link, AgentFreeCapacity{ announcement.free, m_links[announcement.link].startsHandled, announcement.isExclusive } });
    }
}

} // namespace lagoonroute
