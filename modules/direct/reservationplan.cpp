#include <lagoonroute/direct/reservationplan.h>

#include <algorithm>

namespace lagoonroute
{

ReservationPlan::ReservationPlan(Options options)
    : m_options(options)
{
}

bool ReservationPlan::isDue(Instant arrived, Instant objective, Duration runTime, Instant now) const
{
    const double leeway = std::max(0.0, static_cast<double>((objective - arrived - runTime).count()));
    return static_cast<double>((now - arrived).count()) > leeway * m_options.waitShare;
}

ReservationRequests ReservationPlan::review(const std::optional<Demand> &demand, const Candidates &candidates, Instant now)
{
    if (!demand || demand->job != m_demand.job || demand->need != m_demand.need) {
        m_reservedAt.clear();
        m_givenUp.clear();
    }
    if (!demand) {
        return {};
    }
    m_demand = *demand;
    for (auto reserved = m_reservedAt.begin(); reserved != m_reservedAt.end();) {
        const bool isOld = now >= reserved->second + m_options.longestReservation;
        if (!isOld && candidates.isSuitable(reserved->first)) {
            ++reserved;
            continue;
        }
        m_totals.givenUp += isOld ? 1 : 0;
        if (m_givenUp.size() >= m_options.maxAgents) {
            m_givenUp.erase(m_givenUp.begin());
        }
        m_givenUp.push_back(reserved->first);
        reserved = m_reservedAt.erase(reserved);
    }
    if (m_reservedAt.size() < m_options.maxAgents) {
        for (const NodeId agent : candidates.ranked()) {
            const bool wasGivenUp = std::find(m_givenUp.begin(), m_givenUp.end(), agent) != m_givenUp.end();
            if (!wasGivenUp && m_reservedAt.size() < m_options.maxAgents && m_reservedAt.emplace(agent, now).second) {
                ++m_totals.made;
            }
        }
    }
    ReservationRequests requests;
    for (const auto &[agent, since] : m_reservedAt) {
        requests[agent] = CapacityRequest{ true, demand->priority, demand->need, true, demand->expectedRunTime };
    }
    return requests;
}

void ReservationPlan::startSent(NodeId agent, const Resources &need)
{
    const auto reserved = m_reservedAt.find(agent);
    if (reserved != m_reservedAt.end() && m_demand.need.fitsInto(need)) {
        ++m_totals.used;
        m_reservedAt.erase(reserved);
    }
}

} // namespace lagoonroute
