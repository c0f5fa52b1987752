#pragma once

#include <chrono>
#include <cstdint>

namespace lagoonroute
{

/** Length of time in microseconds, the resolution of every decision. */
using Duration = std::chrono::microseconds;

/**
 * Clock of the decision cores.
 *
 * Cores never read a clock: the current time is passed to them. Adapters take it from the steady clock of the
 * operating system, tests from a counter of their own.
 */
struct MonotonicClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;

    /** Returns the time of the operating system's steady clock. For adapters only. */
    static time_point now() noexcept;

    /** Returns the time of the clock that also counts while the host is suspended. For adapters only. */
    static time_point nowWithSuspension() noexcept;
};

/** Point in time of one process. It has no meaning in another process: messages carry remaining durations. */
using Instant = MonotonicClock::time_point;

/** Calendar time, used only for the age of time-ordered submission keys and in the audit trail. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace lagoonroute
