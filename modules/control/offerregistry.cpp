#include <lagoonroute/control/offerregistry.h>

namespace lagoonroute
{

OfferRegistry::OfferRegistry(Duration lifetime)
    : m_lifetime(lifetime)
{
}

bool OfferRegistry::announce(const UpstreamAnnounced &announcement, Instant now)
{
    const ServiceOffer offer{ announcement.service, announcement.slots, announcement.connections, announcement.capacity };
    Announced &known = m_announced[announcement.service];
    known.until = now + m_lifetime;
    const bool changed = known.offer != offer;
    known.offer = offer;
    return changed;
}

bool OfferRegistry::withdraw(const std::string &service)
{
    return m_announced.erase(service) > 0;
}

std::vector<std::string> OfferRegistry::removeExpired(Instant now)
{
    std::vector<std::string> expired;
    for (const auto &[service, announced] : m_announced) {
        if (announced.until <= now) {
            expired.push_back(service);
        }
    }
    for (const std::string &service : expired) {
        m_announced.erase(service);
    }
    return expired;
}

std::vector<ServiceOffer> OfferRegistry::offers() const
{
    std::vector<ServiceOffer> offers;
    offers.reserve(m_announced.size());
    for (const auto &[service, announced] : m_announced) {
        offers.push_back(announced.offer);
    }
    return offers;
}

std::optional<Instant> OfferRegistry::nextWake() const
{
    std::optional<Instant> earliest;
    for (const auto &[service, announced] : m_announced) {
        if (!earliest || announced.until < *earliest) {
            earliest = announced.until;
        }
    }
    return earliest;
}

} // namespace lagoonroute
