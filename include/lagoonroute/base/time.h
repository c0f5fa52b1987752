#pragma once

#include <chrono>
#include <cstdint>

namespace lagoonroute
{

/** Length of time in microseconds, the time resolution of the decision cores. */
using Duration = std::chrono::microseconds;

/**
 * Clock of the decision cores.
 *
 * Cores never read a clock: the current time is passed to them. Adapters obtain it from the steady clock of the
 * operating system, tests from a simulated clock.
 */
struct MonotonicClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;

    /** Returns the current time of the operating system's steady clock. For adapters only. */
    static time_point now() noexcept;

    /** Returns the current time of the clock that also advances while the host is suspended. For adapters only. */
    static time_point nowWithSuspension() noexcept;
};

/** Point in time, valid only within one process. Messages carry remaining durations instead. */
using Instant = MonotonicClock::time_point;

/** Calendar time, used only for the age of time-ordered submission keys and in the audit trail. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace lagoonroute
