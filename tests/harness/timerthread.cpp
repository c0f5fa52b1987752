#include "timerthread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <utility>

namespace lagoonroute::harness
{

class TimerThread::Implementation
{
public:
    boost::asio::io_context loop{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{ loop.get_executor() };
    std::thread thread{ [this] { loop.run(); } };
};

TimerThread::TimerThread()
    : m_implementation(std::make_unique<Implementation>())
{
}

TimerThread::~TimerThread()
{
    stop();
}

void TimerThread::after(Duration delay, std::function<void()> function)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_implementation->loop, delay);
    timer->async_wait([timer, function = std::move(function)](const boost::system::error_code &error) {
        if (!error) {
            function();
        }
    });
}

void TimerThread::stop()
{
    m_implementation->loop.stop();
    if (m_implementation->thread.joinable()) {
        m_implementation->thread.join();
    }
}

} // namespace lagoonroute::harness
