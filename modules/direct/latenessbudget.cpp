#include <lagoonroute/direct/latenessbudget.h>

#include <algorithm>

namespace lagoonroute
{

void LatenessBudget::addPunctualJob(const std::string &service, std::uint32_t priority, double spareWork)
{
    const auto [known, isNew] = m_spareWork[service].try_emplace(priority, spareWork);
    if (!isNew) {
        known->second = std::min(known->second, spareWork);
    }
}

bool LatenessBudget::take(const std::string &service, std::uint32_t priority, double work)
{
    auto &spareWork = m_spareWork[service];
    const auto lessUrgent = spareWork.upper_bound(priority);
    const bool isEnough = std::all_of(lessUrgent, spareWork.end(), [work](const auto &item) { return work <= item.second; });
    if (!isEnough) {
        return false;
    }
    std::for_each(lessUrgent, spareWork.end(), [work](auto &item) { item.second -= work; });
    return true;
}

} // namespace lagoonroute
