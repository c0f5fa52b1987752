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
        const auto [known, isNew] = m_targets.try_emplace(address);
        Target &target = known->second;
        const bool isAgain = std::exchange(target.isBack, false) || (!isNew && isStale(target, now));
        target.usedAt = now;
        target.attempts = 0;
        if (isNew) {
            target.delay = m_options.firstDelay;
            target.nextAttempt = now;
        } else if (target.link == 0) {
            target.delay = std::min(target.delay, m_options.maxDelay);
            target.nextAttempt = std::min(target.nextAttempt, now + target.delay);
        }
        isAnyNew = isAnyNew || isNew || isAgain;
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
        if (now - state.usedAt > m_options.addressRetention && state.attempts >= m_options.leastAttempts) {
            m_targets.erase(current);
            continue;
        }
        ++state.attempts;
        state.nextAttempt = now + state.delay;
        state.delay = std::min(state.delay * 2, delayLimit(state, now));
        addresses.push_back(current->first);
    }
    return addresses;
}

void ReconnectSchedule::dialled(const std::string &address, LinkId link)
{
    m_targets[address].link = link;
}

void ReconnectSchedule::opened(LinkId link, Instant now)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.delay = m_options.firstDelay;
            target.isBack = isStale(target, now);
            target.isOpen = true;
        }
    }
}

bool ReconnectSchedule::isStale(const Target &target, Instant now) const
{
    return !target.isOpen && now - target.usedAt > m_options.addressRetention / 2;
}

Duration ReconnectSchedule::delayLimit(const Target &target, Instant now) const
{
    return now - target.usedAt > m_options.recentTime ? m_options.maxLaterDelay : m_options.maxDelay;
}

void ReconnectSchedule::closed(LinkId link, Instant now)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.link = 0;
            target.nextAttempt = now + target.delay;
            if (std::exchange(target.isOpen, false)) {
                target.usedAt = now;
                target.linkedAt = now;
                target.attempts = 0;
            }
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

std::vector<std::string> ReconnectSchedule::addresses(Instant now) const
{
    std::vector<std::string> useful;
    for (const auto &[address, target] : m_targets) {
        // An address that is only ever listed would be passed on for good between processes that cannot reach it.
        const bool isRecent = target.linkedAt ? now - *target.linkedAt < m_options.addressRetention / 2 : target.attempts < m_options.leastAttempts;
        if (target.isOpen || isRecent) {
            useful.push_back(address);
        }
    }
    return useful;
}

} // namespace lagoonroute
