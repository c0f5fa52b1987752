#include "lateorders.h"

#include <thread>

namespace standins
{

namespace
{

constexpr std::int64_t callTimeoutMs = 3000;

} // namespace

LateOrders::LateOrders(int port, int workerPort)
    : m_workerPort(workerPort)
{
    std::thread([this, port] { serve(port, [this](const Message &message) { return pass(message); }); }).detach();
}

void LateOrders::holdBack(const std::string &job)
{
    const std::lock_guard lock(m_mutex);
    m_job = job;
}

std::optional<std::int64_t> LateOrders::heldAt()
{
    const std::lock_guard lock(m_mutex);
    return m_heldAt;
}

Message LateOrders::pass(const Message &message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_job.empty() && message.target == "/api/run-start" && message.body.find(m_job) != std::string::npos) {
            m_job.clear();
            m_held = message;
            m_heldAt = nowMs();
            return Message{ .status = noAnswer };
        }
    }
    const Message response = request(m_workerPort, message, callTimeoutMs);
    return response.status == 0 ? Message{ .status = brokenConnection } : response;
}

Message LateOrders::deliver()
{
    Message order;
    {
        const std::lock_guard lock(m_mutex);
        order = m_held.value_or(Message{});
    }
    const std::int64_t until = nowMs() + callTimeoutMs;
    Message answer;
    while (answer.status == 0 && nowMs() < until) {
        answer = request(m_workerPort, order, callTimeoutMs);
        if (answer.status == 0) {
            sleepUntil(nowMs() + 1);
        }
    }
    return answer;
}

} // namespace standins
