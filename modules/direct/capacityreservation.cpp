#include <lagoonroute/direct/capacityreservation.h>

#include <algorithm>
#include <tuple>

namespace lagoonroute
{

namespace
{

/** Multiple of the expected run time that a backfilled run is taken to need: declared run times are off by 40 %. */
constexpr double backfillMargin = 1.5;

Resources smallerOf(const Resources &left, const Resources &right)
{
    return { std::min(left.cpuMillis, right.cpuMillis),
             std::min(left.memoryMegabytes, right.memoryMegabytes),
             std::min(left.accelerators, right.accelerators) };
}

} // namespace

Resources CapacityHold::availableTo(const CapacityRequest &request, const Resources &free, Instant now) const
{
    if (request.priority < priority) {
        return free;
    }
    const auto runTime = Duration(static_cast<Duration::rep>(static_cast<double>(request.expectedRunTime.count()) * backfillMargin));
    const bool endsBefore = runTime > Duration(0) && now + runTime <= until;
    // No more than the one task that is known to end in time.
    return endsBefore && request.need.fitsInto(free) && !request.need.fitsInto(spare) ? request.need : spare;
}

CapacityReservation::CapacityReservation(Options options)
    : m_options(options)
{
}

void CapacityReservation::setRequest(LinkId link, const CapacityRequest &request, Instant now)
{
    m_noticed.erase(link);
    const auto found = m_reservations.find(link);
    if (!request.hasWaitingTasks || !request.reserve) {
        if (found != m_reservations.end()) {
            close(link, now);
        }
        return;
    }
    if (found != m_reservations.end() && found->second.need == request.need && found->second.priority == request.priority) {
        return;
    }
    close(link, now);
    m_reservations[link] = Reservation{ request.priority, request.need, now };
}

void CapacityReservation::close(LinkId link, Instant now)
{
    m_reservations.erase(link);
    m_noticed.erase(link);
    if (m_hold && m_hold->link == link) {
        endHold(now);
    }
}

void CapacityReservation::startHandled(LinkId link, const Resources &need, Instant now)
{
    const auto noticed = m_noticed.find(link);
    if (noticed != m_noticed.end()) {
        m_totals.used += noticed->second.fitsInto(need) ? 1 : 0;
        m_noticed.erase(noticed);
        return;
    }
    const auto found = m_reservations.find(link);
    if (found != m_reservations.end() && found->second.need.fitsInto(need)) {
        ++m_totals.used;
        close(link, now);
    }
}

void CapacityReservation::noticeSent(LinkId link, Instant now)
{
    const auto found = m_reservations.find(link);
    if (found == m_reservations.end()) {
        return;
    }
    const Resources need = found->second.need;
    close(link, now);
    m_noticed[link] = need;
}

CapacityReservation::Reservations::const_iterator CapacityReservation::first() const
{
    auto best = m_reservations.end();
    for (auto other = m_reservations.begin(); other != m_reservations.end(); ++other) {
        if (other->second.isExpired) {
            continue;
        }
        if (best == m_reservations.end() || std::tie(other->second.priority, other->second.since) < std::tie(best->second.priority, best->second.since)) {
            best = other;
        }
    }
    return best;
}

std::optional<std::uint32_t> CapacityReservation::firstPriority() const
{
    const auto found = first();
    return found == m_reservations.end() ? std::nullopt : std::optional(found->second.priority);
}

void CapacityReservation::account(Instant now)
{
    m_totals.heldProcessorSeconds += static_cast<double>(m_heldMillis) / 1000 * std::chrono::duration<double>(now - m_accountedTo).count();
    m_accountedTo = now;
}

void CapacityReservation::endHold(Instant now)
{
    account(now);
    m_heldMillis = 0;
    m_hold.reset();
}

void CapacityReservation::expire(Instant now)
{
    ++m_totals.expired;
    m_reservations[m_hold->link].isExpired = true;
    endHold(now);
}

const std::optional<CapacityHold> &CapacityReservation::review(const Resources &free, std::vector<ExpectedRunEnd> ends, bool mayHold, Instant now)
{
    if (m_hold && now >= m_holdEnd) {
        expire(now);
    }
    const auto found = first();
    if (m_hold && (!mayHold || found == m_reservations.end() || found->first != m_hold->link)) {
        endHold(now);
    }
    if (!mayHold || found == m_reservations.end()) {
        return m_hold;
    }
    const auto &[link, reservation] = *found;
    const Instant latest = m_hold ? m_holdEnd : now + m_options.longestHold;
    std::sort(ends.begin(), ends.end());
    Resources available = free;
    Instant until = now;
    for (const ExpectedRunEnd &end : ends) {
        if (reservation.need.fitsInto(available)) {
            break;
        }
        available = available + end.need;
        until = std::max(now, end.at);
    }
    if (!reservation.need.fitsInto(available) || until > latest) {
        if (m_hold) {
            expire(now);
        }
        return m_hold;
    }
    if (!m_hold) {
        ++m_totals.begun;
        m_holdEnd = latest;
    }
    account(now);
    m_hold = CapacityHold{ link, reservation.priority, reservation.need, smallerOf(free, available - reservation.need), until };
    m_heldMillis = free.cpuMillis - m_hold->spare.cpuMillis;
    return m_hold;
}

std::optional<Instant> CapacityReservation::nextWake() const
{
    return m_hold ? std::optional(m_holdEnd) : std::nullopt;
}

} // namespace lagoonroute
