#pragma once

#include <lagoonroute/base/time.h>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace lagoonroute
{

/** Wakes one waiting thread. A notification before the wait makes that wait return at once. */
class WakeSignal
{
public:
    /** Wakes the waiting thread, or makes its next wait return at once. Callable from any thread. */
    void notify();

    /** Waits for a notification until the deadline, or indefinitely without one. */
    void waitUntil(std::optional<Instant> deadline);

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_notified = false;
};

} // namespace lagoonroute
