#include <lagoonroute/base/time.h>

#include <ctime>

namespace lagoonroute
{

Instant MonotonicClock::now() noexcept
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

Instant MonotonicClock::nowWithSuspension() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace lagoonroute
