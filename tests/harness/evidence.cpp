#include "evidence.h"

#include <algorithm>

namespace lagoonroute::harness
{

std::uint64_t StartLog::start(const std::string &key, std::size_t task, const std::string &worker)
{
    const std::lock_guard lock(m_mutex);
    const std::uint64_t number = m_starts.size();
    m_starts.push_back(StartRecord{ key, task, worker, number, MonotonicClock::now(), std::nullopt });
    return number;
}

void StartLog::end(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    m_starts.at(number).endedAt = MonotonicClock::now();
}

void StartLog::logWithdrawal(const std::string &worker)
{
    const std::lock_guard lock(m_mutex);
    m_withdrawals.push_back(Withdrawal{ worker, MonotonicClock::now() });
}

std::size_t StartLog::starts(const std::string &worker) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_starts.begin(), m_starts.end(), [&](const StartRecord &start) { return worker.empty() || start.worker == worker; }));
}

std::size_t StartLog::running() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_starts.begin(), m_starts.end(), [](const StartRecord &start) { return !start.endedAt; }));
}

void StartLog::copyTo(Evidence &evidence) const
{
    const std::lock_guard lock(m_mutex);
    evidence.starts = m_starts;
    evidence.withdrawals = m_withdrawals;
}

} // namespace lagoonroute::harness
