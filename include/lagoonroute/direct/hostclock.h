#pragma once

#include <lagoonroute/base/time.h>

#include <algorithm>
#include <optional>

namespace lagoonroute
{

/**
 * Clock that counts only time in which this host is known to have run, so that no clock on it has advanced less.
 *
 * Two kinds of time are left out: suspensions that the operating system shows, and gaps between two events that are longer than the
 * event loop leaves by itself, in which the process, and with it perhaps the host, stood still.
 */
class HostClock
{
public:
    /** Longest gap between two events that is counted. An event loop leaves at most 200 ms, and its host may let it wait for another 100 ms. */
    static constexpr Duration longestGap = std::chrono::milliseconds(350);

    /** Advances to an event at the given time. */
    void advance(Instant now)
    {
        m_time = at(now);
        m_last = std::max(m_last.value_or(now), now);
    }

    /** Leaves out a suspension between the last event and the next one. */
    void exclude(Duration suspension)
    {
        if (m_last) {
            *m_last += suspension;
        }
    }

    /** Returns the time on this clock of an event at the given time, no earlier than the last one. */
    [[nodiscard]] Instant at(Instant now) const
    {
        if (!m_last) {
            return now;
        }
        const Duration gap = now - *m_last;
        return gap > Duration(0) && gap <= longestGap ? m_time + gap : m_time;
    }

    /** Returns the earliest time at which this clock can show the given time. */
    [[nodiscard]] Instant earliest(Instant time) const
    {
        return m_last ? *m_last + (time - m_time) : time;
    }

private:
    Instant m_time;
    std::optional<Instant> m_last; // event of m_time; no value before the first
};

} // namespace lagoonroute
