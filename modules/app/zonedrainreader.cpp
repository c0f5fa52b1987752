#include <lagoonroute/app/zonedrainreader.h>

#include <lagoonroute/observation/log.h>

#include <utility>

namespace lagoonroute
{

ZoneDrainReader::ZoneDrainReader(bool isEnabled, std::string prefix, ReadZone readZone, std::uint64_t callNumber, std::uint64_t seed)
    : m_isEnabled(isEnabled)
    , m_follower(PrefixFollower::Options().withPrefix(std::move(prefix), StorePurpose::Configuration).withSeed(seed), callNumber)
    , m_readZone(std::move(readZone))
{
}

std::optional<StoreCall> ZoneDrainReader::next(Instant now)
{
    return m_isEnabled ? m_follower.next(now) : std::nullopt;
}

std::optional<ZoneDrains> ZoneDrainReader::handle(const StoreReply &reply, Instant now)
{
    if (!m_isEnabled || reply.number != m_follower.callNumber()) {
        return std::nullopt;
    }
    const auto listing = m_follower.handle(reply, now);
    if (!listing) {
        return std::nullopt;
    }
    std::set<std::string> zones;
    std::map<std::string, StoreVersion> unreadable;
    for (const StoreItem &item : listing->items) {
        if (auto zone = m_readZone(item)) {
            zones.insert(std::move(*zone));
            continue;
        }
        unreadable[item.key] = item.version;
        const auto known = m_unreadable.find(item.key);
        if (known == m_unreadable.end() || known->second != item.version) {
            logLine(LogLevel::Warning, "zone-drain-unreadable", { { "key", item.key }, { "version", static_cast<std::int64_t>(item.version) } });
        }
    }
    m_unreadable = std::move(unreadable);
    return ZoneDrains(listing->version, std::move(zones));
}

std::optional<Instant> ZoneDrainReader::nextWake() const
{
    return m_isEnabled ? m_follower.nextWake() : std::nullopt;
}

void setZoneDrainMetrics(MetricsRegistry &metrics, const ZoneDrains &drains)
{
    metrics.gauge("lagoonroute_drained_zones").set(static_cast<std::int64_t>(drains.zones().size()));
    metrics.gauge("lagoonroute_zone_drain_version").set(static_cast<std::int64_t>(drains.version()));
}

} // namespace lagoonroute
