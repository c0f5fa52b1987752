#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/leaselimit.h>

#include <cstdint>
#include <optional>

namespace lagoonroute
{

/**
 * Account of the lease that an upstream holds for all runs of its agent: the ends to send, on the upstream's clock, and the
 * time by which every lease that it may have been granted has ended, on a clock of the same host that advances no faster
 * than the upstream's (HostClock).
 */
class UpstreamLease
{
public:
    /** Leases of `term` are requested; the upstream grants at most `limit`. `orderTimeout` is the timeout of an order's answer. */
    UpstreamLease(Duration term, Duration limit, Duration orderTimeout);

    /** Records the upstream's clock, in milliseconds, from an answer that has just arrived. */
    void setClock(std::int64_t clock, Instant now);

    /** Returns the end of a lease that is requested now, in milliseconds on the upstream's clock; no value before its clock is known. */
    [[nodiscard]] std::optional<std::int64_t> endAt(Instant now) const;

    /** Records that an order with the lease end endAt(now) is sent now. */
    void renew(Instant now);

    /** Records that the upstream has started again: its clock starts anew, and its lease may just have been granted. */
    void beginIncarnation(Instant now);

    /** Records that the upstream may just have granted the longest lease, because an order named an end on another clock. */
    void assumeLongest(Instant now);

    /** Returns the last lease end that was sent to this incarnation; no value if there is none. */
    [[nodiscard]] std::optional<std::int64_t> sentEnd() const noexcept
    {
        return m_sentEnd;
    }

    /** Returns the time between two renewals. */
    [[nodiscard]] Duration renewalInterval() const noexcept
    {
        return m_term / 2;
    }

    /** Returns when every lease has ended that may hold for a run, by whether the run is known to be at this incarnation or an earlier one. */
    [[nodiscard]] Instant endOfRun(bool isIncarnationKnown) const;

    /** Returns the time from the start of an agent until every lease has ended that an earlier incarnation of it may have been granted. */
    [[nodiscard]] Duration longestTime() const;

private:
    Duration m_term;
    Duration m_limit;
    Duration m_orderTimeout;
    std::optional<std::int64_t> m_clock; // of the upstream, at m_clockAt
    Instant m_clockAt;
    std::optional<std::int64_t> m_sentEnd;
    Instant m_until; // latest end of the lease at the incarnation that the lists come from
    Instant m_longestUntil; // the same at an incarnation that the agent does not know yet
};

} // namespace lagoonroute
