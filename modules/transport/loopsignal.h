#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <functional>
#include <utility>

namespace lagoonroute
{

/** Wakes an event loop: runs a function on it once after any number of notifications. */
class LoopSignal
{
public:
    /** Creates a signal that runs `onNotified` on the loop. Both must outlive the loop's run. */
    LoopSignal(boost::asio::io_context &loop, std::function<void()> onNotified)
        : m_loop(loop)
        , m_onNotified(std::move(onNotified))
    {
    }

    /** Makes the loop run the function soon. Callable from any thread. */
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
