#pragma once

#include <lagoonroute/base/errors.h>
#include <lagoonroute/base/time.h>

#include <string>
#include <thread>

namespace lagoonroute::harness
{

/** A wait that takes this long has hung; no verdict depends on it otherwise. */
inline constexpr std::chrono::seconds hangLimit{ 30 };

/** Waits until the condition holds. Throws Error, naming what was waited for, when it hangs. */
template <typename Condition>
void waitUntil(Condition &&condition, const std::string &what)
{
    constexpr std::chrono::milliseconds pause{ 5 };
    const Instant limit = MonotonicClock::now() + hangLimit;
    while (!condition()) {
        if (MonotonicClock::now() > limit) {
            throw Error("hung while waiting for " + what);
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace lagoonroute::harness
