#include <lagoonroute/base/time.h>

namespace lagoonroute
{

Instant MonotonicClock::now() noexcept
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceStart));
}

} // namespace lagoonroute
