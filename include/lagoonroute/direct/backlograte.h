#pragma once

#include <lagoonroute/base/time.h>

#include <optional>

namespace lagoonroute
{

/**
 * Rate at which waiting work is started, for one priority.
 *
 * It is measured only while work waits: at other times little work is started because little arrives. The measured rate
 * accounts for the capacity that more urgent work and other entries take.
 */
class BacklogRate
{
public:
    /** Records the work that was started since the last call, and whether work was waiting during that time. The first call begins the measurement. */
    void observe(double startedWork, bool hadBacklog, Instant now);

    /** Returns the work started per microsecond; the expected rate dominates as long as little has been measured. */
    [[nodiscard]] double rate(double expected) const;

private:
    double m_work = 0;
    double m_time = 0; // microseconds during which m_work was started
    std::optional<Instant> m_observedAt; // no value before the first call
};

} // namespace lagoonroute
