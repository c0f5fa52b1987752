#include <lagoonroute/direct/upstreamlease.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UpstreamLease::UpstreamLease(Duration term, Duration limit, Duration orderTimeout)
    : m_term(term)
    , m_limit(limit)
    , m_orderTimeout(orderTimeout)
{
}

void UpstreamLease::setClock(std::int64_t clock, Instant now)
{
    m_clock = clock;
    m_clockAt = now;
}

std::optional<std::int64_t> UpstreamLease::endAt(Instant now) const
{
    if (!m_clock) {
        return std::nullopt;
    }
    return *m_clock + milliseconds(now - m_clockAt) + milliseconds(m_term);
}

void UpstreamLease::renew(Instant now)
{
    m_sentEnd = endAt(now);
    // Meanwhile the upstream's clock may have fallen behind the time that its last known value suggests.
    const Duration clockAge = now - m_clockAt;
    m_until = std::max(m_until, now + leaseTime(m_term + clockAge) - clockAge);
    // A new incarnation's clock starts at zero, so every earlier end is far ahead of it and only its own limit counts.
    m_longestUntil = std::max(m_longestUntil, now + m_orderTimeout + leaseTime(m_limit));
}

void UpstreamLease::beginIncarnation(Instant now)
{
    m_sentEnd.reset();
    assumeLongest(now);
}

void UpstreamLease::assumeLongest(Instant now)
{
    m_until = std::max(m_until, now + leaseTime(m_limit));
    m_longestUntil = std::max(m_longestUntil, m_until);
}

Instant UpstreamLease::endOfRun(bool isIncarnationKnown) const
{
    return isIncarnationKnown ? m_until : m_longestUntil;
}

Duration UpstreamLease::longestTime() const
{
    return leaseTime(m_limit);
}

} // namespace lagoonroute
