#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace lagoonroute
{

/**
 * Event loop on its own thread.
 *
 * The owner must declare it before the objects that run on it, start it once those are set up, and stop it first in its
 * own destructor.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** The I/O context, for sockets, timers and posted functions. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /** Starts the thread. */
    void start();

    /** Stops the loop and joins its thread. Handlers that have not run yet are destroyed together with the loop, without running. */
    void stop();

private:
    boost::asio::io_context m_context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace lagoonroute
