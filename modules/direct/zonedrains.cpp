#include <lagoonroute/direct/zonedrains.h>

#include <utility>

namespace lagoonroute
{

ZoneDrains::ZoneDrains(std::uint64_t version, std::set<std::string> zones)
    : m_version(version)
    , m_zones(std::move(zones))
{
}

ZoneDrains ZoneDrains::fromNotice(const ZoneDrainNotice &notice)
{
    return ZoneDrains(notice.version, { notice.zones.begin(), notice.zones.end() });
}

ZoneDrainNotice ZoneDrains::toNotice() const
{
    return ZoneDrainNotice{ m_version, { m_zones.begin(), m_zones.end() } };
}

std::vector<DecisionNote> ZoneDrains::changesSince(const ZoneDrains &earlier, std::string_view source) const
{
    const std::string detail = "version " + std::to_string(m_version) + ", from the " + std::string(source);
    std::vector<DecisionNote> notes;
    for (const std::string &zone : m_zones) {
        if (!earlier.contains(zone)) {
            notes.push_back(DecisionNote{ "zone-drained", zone, detail, true });
        }
    }
    for (const std::string &zone : earlier.m_zones) {
        if (!contains(zone)) {
            notes.push_back(DecisionNote{ "zone-drain-ended", zone, detail, false });
        }
    }
    return notes;
}

} // namespace lagoonroute
