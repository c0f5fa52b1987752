#include <lagoonroute/direct/drainexchange.h>

namespace lagoonroute
{

DrainExchange::DrainExchange(bool isEnabled)
    : m_isEnabled(isEnabled)
{
}

std::vector<DecisionNote> DrainExchange::update(const ZoneDrains &drains)
{
    return replace(drains, "store");
}

std::vector<DecisionNote> DrainExchange::receive(LinkId link, const LinkMessage &message)
{
    if (const auto *agent = std::get_if<AgentHello>(&message)) {
        subscribe(link, agent->features);
    } else if (const auto *entry = std::get_if<EntryHello>(&message)) {
        subscribe(link, entry->features);
    } else if (const auto *notice = std::get_if<ZoneDrainNotice>(&message)) {
        const ZoneDrains received = ZoneDrains::fromNotice(*notice);
        const auto neighbour = m_neighbours.find(link);
        if (neighbour != m_neighbours.end()) {
            neighbour->second = received;
        }
        return replace(received, "link");
    }
    return {};
}

std::vector<DecisionNote> DrainExchange::replace(const ZoneDrains &drains, std::string_view source)
{
    if (!m_isEnabled || drains.version() <= m_current.version()) {
        return {};
    }
    std::vector<DecisionNote> notes = drains.changesSince(m_current, source);
    m_current = drains;
    return notes;
}

void DrainExchange::subscribe(LinkId link, LinkFeatures features)
{
    if (m_isEnabled && (features & zoneDrainFeature) != 0) {
        m_neighbours.try_emplace(link);
    }
}

void DrainExchange::linkClosed(LinkId link)
{
    m_neighbours.erase(link);
}

std::vector<SendOnLink> DrainExchange::takeNotices()
{
    std::vector<SendOnLink> notices;
    for (auto &[link, known] : m_neighbours) {
        const bool isNew = !known && m_current.version() != 0;
        const bool isOutdated = known && known->version() < m_current.version() && known->zones() != m_current.zones();
        if (isNew || isOutdated) {
            known = m_current;
            notices.push_back(SendOnLink{ link, m_current.toNotice() });
        }
    }
    return notices;
}

} // namespace lagoonroute
