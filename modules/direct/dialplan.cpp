#include <lagoonroute/direct/dialplan.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

DialPlan::Options DialPlan::Options::withSelf(std::string address) const
{
    Options changed = *this;
    changed.self = std::move(address);
    return changed;
}

DialPlan::DialPlan(Options options)
    : m_options(std::move(options))
{
}

bool DialPlan::learn(const std::vector<std::string> &addresses, Instant now)
{
    bool isAnyNew = false;
    for (const std::string &address : addresses) {
        if (address.empty() || address == m_options.self) {
            continue;
        }
        const auto [target, isNew] = m_targets.try_emplace(address);
        target->second.namedAt = now;
        if (isNew) {
            target->second.pause = m_options.firstPause;
            target->second.nextTry = now;
            isAnyNew = true;
        }
    }
    return isAnyNew;
}

std::vector<std::string> DialPlan::due(Instant now)
{
    std::vector<std::string> addresses;
    for (auto target = m_targets.begin(); target != m_targets.end();) {
        const auto current = target++;
        Target &state = current->second;
        if (state.link != 0 || now < state.nextTry) {
            continue;
        }
        if (now - state.namedAt > m_options.forgetAfter) {
            m_targets.erase(current);
            continue;
        }
        state.nextTry = now + state.pause;
        state.pause = std::min(state.pause * 2, m_options.maxPause);
        addresses.push_back(current->first);
    }
    return addresses;
}

void DialPlan::dialled(const std::string &address, LinkId link)
{
    m_targets[address].link = link;
}

void DialPlan::forget(const std::string &address)
{
    m_targets.erase(address);
}

void DialPlan::opened(LinkId link)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.pause = m_options.firstPause;
        }
    }
}

void DialPlan::closed(LinkId link, Instant now)
{
    for (auto &[address, target] : m_targets) {
        if (target.link == link) {
            target.link = 0;
            target.nextTry = now + target.pause;
        }
    }
}

std::optional<Instant> DialPlan::nextWake() const
{
    std::optional<Instant> earliest;
    for (const auto &[address, target] : m_targets) {
        if (target.link == 0 && (!earliest || target.nextTry < *earliest)) {
            earliest = target.nextTry;
        }
    }
    return earliest;
}

std::vector<std::string> DialPlan::addresses() const
{
    std::vector<std::string> all;
    for (const auto &[address, target] : m_targets) {
        all.push_back(address);
    }
    return all;
}

} // namespace lagoonroute
