#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace lagoonroute
{

/** Runs a function on an event loop when notified. Notifications before the function runs are merged into one call. */
class LoopSignal
{
public:
    /** Creates a signal that runs `onNotified` on the loop. The signal and everything that the function uses must outlive the run of the loop. */
    LoopSignal(boost::asio::io_context &loop, std::function<void()> onNotified)
        : m_loop(loop)
        , m_onNotified(std::move(onNotified))
    {
    }

    /** Schedules the function on the loop. Callable from any thread. */
    void notify()
    {
        if (m_scheduled.exchange(true)) {
            return;
        }
        boost::asio::post(m_loop, [this] {
            m_scheduled = false;
            m_onNotified();
        });
    }

private:
    boost::asio::io_context &m_loop;
    std::function<void()> m_onNotified;
    std::atomic<bool> m_scheduled = false;
};

} // namespace lagoonroute
