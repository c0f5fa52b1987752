#include "refusalcache.h"

namespace lagoonroute
{

namespace
{

constexpr Duration lifetime = std::chrono::seconds(60);
constexpr std::size_t capacity = 50'000;

} // namespace

const JobAnswer *RefusalCache::find(const RequestId &request) const
{
    const auto found = m_answers.find(request);
    return found == m_answers.end() ? nullptr : &found->second;
}

bool RefusalCache::add(const RequestId &request, const JobAnswer &answer, Instant now)
{
    if (m_answers.size() >= capacity) {
        return false;
    }
    if (m_answers.emplace(request, answer).second) {
        m_order.emplace_back(now + lifetime, request);
    }
    return true;
}

void RefusalCache::expire(Instant now)
{
    while (!m_order.empty() && m_order.front().first <= now) {
        m_answers.erase(m_order.front().second);
        m_order.pop_front();
    }
}

} // namespace lagoonroute
