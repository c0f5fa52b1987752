#include <lagoonroute/base/wakesignal.h>

namespace lagoonroute
{

void WakeSignal::notify()
{
    const std::lock_guard lock(m_mutex);
    m_notified = true;
    m_condition.notify_one();
}

void WakeSignal::waitUntil(std::optional<Instant> deadline)
{
    std::unique_lock lock(m_mutex);
    const auto isNotified = [this] { return m_notified; };
    if (deadline) {
        const std::chrono::steady_clock::time_point end(deadline->time_since_epoch());
        m_condition.wait_until(lock, end, isNotified);
    } else {
        m_condition.wait(lock, isNotified);
    }
    m_notified = false;
}

} // namespace lagoonroute
