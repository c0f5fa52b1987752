#pragma once

#include <lagoonroute/base/errors.h>
#include <lagoonroute/base/time.h>

#include <string>
#include <thread>

namespace lagoonroute::harness
{

/** Time after which a wait counts as hung. No check depends on it in any other way. */
inline constexpr std::chrono::seconds hangLimit{ 30 };

/** Waits until the condition is true. Throws Error, with `what` in the message, after hangLimit. */
template <typename Condition>
void waitUntil(Condition &&condition, const std::string &what)
{
    constexpr std::chrono::milliseconds pollInterval{ 5 };
    const Instant limit = MonotonicClock::now() + hangLimit;
    while (!condition()) {
        if (MonotonicClock::now() > limit) {
            throw Error("timed out while waiting for " + what);
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace lagoonroute::harness
