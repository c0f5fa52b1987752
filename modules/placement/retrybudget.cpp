#include <lagoonroute/placement/retrybudget.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::uint32_t maxDoublings = 16;

} // namespace

RetryBudget::Options &RetryBudget::Options::withShare(double value)
{
    share = value;
    return *this;
}

RetryBudget::Options &RetryBudget::Options::withRate(double perSecond, double maxSaved)
{
    minPerSecond = perSecond;
    capacity = maxSaved;
    return *this;
}

RetryBudget::Options &RetryBudget::Options::withBackOff(Duration base, Duration max)
{
    baseBackOff = base;
    maxBackOff = max;
    return *this;
}

RetryBudget::RetryBudget(Options options)
    : m_options(options)
    , m_saved(options.capacity)
{
}

void RetryBudget::setShare(double share)
{
    m_options.share = share;
}

void RetryBudget::earn()
{
    m_saved = std::min(m_options.capacity, m_saved + m_options.share);
}

bool RetryBudget::spend(Instant now)
{
    constexpr double microsPerSecond = 1e6;
    const double seconds = static_cast<double>((now - m_refilled).count()) / microsPerSecond;
    m_saved = std::min(m_options.capacity, m_saved + std::max(0.0, seconds) * m_options.minPerSecond);
    m_refilled = now;
    if (m_saved < 1) {
        return false;
    }
    m_saved -= 1;
    return true;
}

Duration RetryBudget::backOff(std::uint32_t refusals, PlacementRandom &random) const
{
    const auto factor = Duration::rep{ 1 } << std::min(refusals, maxDoublings);
    const Duration longest = std::min(m_options.maxBackOff, m_options.baseBackOff * factor);
    const auto half = static_cast<std::uint64_t>(std::max<Duration::rep>(1, longest.count() / 2));
    return longest / 2 + Duration(static_cast<Duration::rep>(random() % half)) + Duration(1);
}

RetryQueue::RetryQueue(RetryBudget::Options options)
    : m_budget(options)
{
}

void RetryQueue::recordRefusal(const TaskId &task, Instant enqueued)
{
    Refusals &refusals = m_refusals[task];
    refusals.enqueued = enqueued;
    ++refusals.count;
}

bool RetryQueue::wasRefused(const TaskId &task) const
{
    return !m_refusals.empty() && m_refusals.find(task) != m_refusals.end();
}

void RetryQueue::delay(TaskDemand task, Instant now, PlacementRandom &random)
{
    Refusals &refusals = m_refusals[task.task];
    if (refusals.due) {
        return;
    }
    refusals.due = now + m_budget.backOff(refusals.count, random);
    const std::pair key(*refusals.due, task.task);
    m_delayed.emplace(key, std::move(task));
}

std::optional<std::pair<TaskDemand, Instant>> RetryQueue::takeDue(Instant now, PlacementRandom &random)
{
    if (m_delayed.empty() || m_delayed.begin()->first.first > now) {
        return std::nullopt;
    }
    auto node = m_delayed.extract(m_delayed.begin());
    Refusals &refusals = m_refusals[node.mapped().task];
    if (!m_budget.spend(now)) {
        refusals.due = now + m_budget.backOff(maxDoublings, random);
        node.key().first = *refusals.due;
        m_delayed.insert(std::move(node));
        return std::nullopt;
    }
    refusals.due.reset();
    return std::pair(std::move(node.mapped()), refusals.enqueued);
}

bool RetryQueue::remove(const TaskId &task)
{
    const auto found = m_refusals.find(task);
    if (found == m_refusals.end()) {
        return false;
    }
    const bool isDelayed = found->second.due && m_delayed.erase({ *found->second.due, task }) > 0;
    m_refusals.erase(found);
    return isDelayed;
}

void RetryQueue::discardRefusals(const TaskId &task)
{
    if (!m_refusals.empty()) {
        remove(task);
    }
}

void RetryQueue::takeExpired(Instant now, std::vector<TaskId> &expired)
{
    for (auto position = m_delayed.begin(); position != m_delayed.end();) {
        if (position->second.startBy > now) {
            ++position;
            continue;
        }
        expired.push_back(position->second.task);
        m_refusals.erase(position->second.task);
        position = m_delayed.erase(position);
    }
}

std::optional<Instant> RetryQueue::nextDue() const
{
    std::optional<Instant> earliest;
    for (const auto &[key, task] : m_delayed) {
        const Instant moment = std::min(key.first, task.startBy);
        earliest = earliest ? std::min(*earliest, moment) : moment;
    }
    return earliest;
}

} // namespace lagoonroute
