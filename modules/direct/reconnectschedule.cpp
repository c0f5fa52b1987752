#include <lagoonroute/direct/reconnectschedule.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

ReconnectSchedule::Options ReconnectSchedule::Options::withSelf(std::string address) const
{
    Options changed = *this;
    changed.self = std::move(address);
    return changed;
}

ReconnectSchedule::ReconnectSchedule(Options options)
    : m_options(std::move(options))
{
}

bool ReconnectSchedule::addAddresses(const std::vector<std::string> &addresses, Instant now)
{
    bool isAnyNew = false;
    for (const std::string &address : addresses) {
        if (address.empty() || address == m_options.self) {
            continue;
        }
        const auto [target, isNew] = m_targets.try_emplace(address);
        target->second.lastListedAt = now;
        if (isNew) {
            target->second.delay = m_options.firstDelay;
            target->second.nextAttempt = now;
            isAnyNew = true;
        }
    }
    return isAnyNew;
}

std::vector<std::string> ReconnectSchedule::due(Instant now)
{
    std::vector<std::string> addresses;
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const auto current = target++;
        Target &state = current->second;
        if (state.link != 0 || now < state.nextAttempt) {
            continue;
        }
        if (now - state.lastListedAt > m_options.addressRetention) {
            m_targets.erase(current);
            continue;
        }
        state.nextAttempt = now + state.delay;
        state.delay = std::min(state.delay * 2, m_options.maxDelay);
        addresses.push_back(current->first);
    }
    return addresses;
}

void ReconnectSchedule::dialled(const std::string &address, LinkId link)
{
    m_targets[address].link = link;
}

void ReconnectSchedule::opened(LinkId link)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.delay = m_options.firstDelay;
        }
    }
}

void ReconnectSchedule::closed(LinkId link, Instant now)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.link = 0;
            target.nextAttempt = now + target.delay;
        }
    }
}

std::optional<Instant> ReconnectSchedule::nextWake() const
{
    std::optional<Instant> earliest;
    for (const auto &[address, target] : m_targets) {
        if (target.link == 0 && (!earliest || target.nextAttempt < *earliest)) {
            earliest = target.nextAttempt;
        }
    }
    return earliest;
}

std::vector<std::string> ReconnectSchedule::addresses() const
{
    std::vector<std::string> all;
    for (const auto &[address, target] : m_targets) {
        all.push_back(address);
    }
    return all;
}

} // namespace lagoonroute
