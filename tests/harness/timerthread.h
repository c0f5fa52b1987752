#pragma once

#include <lagoonroute/base/time.h>

#include <functional>
#include <memory>

namespace lagoonroute::harness
{

/** Runs functions after a delay on a dedicated thread. */
class TimerThread
{
public:
    TimerThread();
    ~TimerThread();

    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /** Runs the function after the delay. Thread-safe. */
    void after(Duration delay, std::function<void()> function);

    /** Discards pending functions and waits for a running one to return. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
