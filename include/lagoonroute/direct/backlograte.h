#pragma once

#include <lagoonroute/base/time.h>

namespace lagoonroute
{

/**
 * Rate at which waiting work is started, for one priority.
 *
 * It is measured only while work waits: at other times little work is started because little comes. What more urgent work
 * takes, and what other entries take, is in the measured rate.
 */
class BacklogRate
{
public:
    /** Adds the work that was started since the last call, and whether any has waited all the while. */
    void observe(double startedWork, bool hadBacklog, Instant now);

    /** Returns work per microsecond; the expected rate counts as long as little has been measured. */
    [[nodiscard]] double rate(double expected) const;

private:
    double m_work = 0;
    double m_time = 0; // microseconds, in which m_work was started
    Instant m_observedAt;
};

} // namespace lagoonroute
