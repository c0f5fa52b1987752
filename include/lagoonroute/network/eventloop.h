#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace lagoonroute
{

/**
 * Event loop on a thread of its own.
 *
 * The owner declares it before what runs on it, starts it when that is set up, and stops it first in its destructor.
 */
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** The loop, for sockets, timers and posted functions. */
    [[nodiscard]] boost::asio::io_context &context() noexcept
    {
        return m_context;
    }

    /** Starts the thread. */
    void start();

    /** Ends the thread and waits for its end; what is still to run is dropped with the loop. */
    void stop();

private:
    boost::asio::io_context m_context{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace lagoonroute
