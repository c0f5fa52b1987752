#pragma once

#include <lagoonroute/base/time.h>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace lagoonroute
{

/** Wakes one waiting thread. A notification that comes before the wait is kept. */
class WakeSignal
{
public:
    /** Wakes the waiting thread, or makes its next wait return at once. Callable from any thread. */
    void notify();

    /** Waits for a notification, until the given time at most; without a time, for as long as it takes. */
    void waitUntil(std::optional<Instant> deadline);

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_notified = false;
};

} // namespace lagoonroute
