#include <lagoonroute/network/eventloop.h>

#include <lagoonroute/network/containedrun.h>

namespace lagoonroute
{

EventLoop::EventLoop()
    : m_work(boost::asio::make_work_guard(m_context))
{
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::start()
{
    m_thread = std::thread([this] { runContained(m_context); });
}

void EventLoop::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

} // namespace lagoonroute
