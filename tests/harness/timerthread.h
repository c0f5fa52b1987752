#pragma once

#include <lagoonroute/base/time.h>

#include <functional>
#include <memory>

namespace lagoonroute::harness
{

/** Runs functions after a delay, on a thread of its own. */
class TimerThread
{
public:
    TimerThread();
    ~TimerThread();

    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /** Runs the function after the delay. Callable from any thread. */
    void after(Duration delay, std::function<void()> function);

    /** Runs nothing more, and waits for what runs. */
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
