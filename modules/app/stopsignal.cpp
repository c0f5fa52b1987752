#include "stopsignal.h"

#include <chrono>
#include <csignal>
#include <ctime>

namespace lagoonroute
{

namespace
{

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

bool waitForStopSignal(std::optional<Duration> timeout)
{
    const sigset_t signals = stopSignals();
    if (!timeout) {
        int received = 0;
        return sigwait(&signals, &received) == 0;
    }
    const auto seconds = std::chrono::floor<std::chrono::seconds>(*timeout);
    const auto nanoseconds = std::chrono::nanoseconds(*timeout - seconds);
    const timespec wait{ .tv_sec = seconds.count(), .tv_nsec = nanoseconds.count() };
    return sigtimedwait(&signals, nullptr, &wait) > 0;
}

} // namespace lagoonroute
