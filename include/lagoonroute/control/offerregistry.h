#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/dispatch/events.h>
#include <lagoonroute/membership/member.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Registry of the services that the upstream beside this agent offers.
 *
 * The upstream repeats its announcements. An announcement that is not repeated within its lifetime expires.
 */
class OfferRegistry
{
public:
    /** Creates a registry whose announcements expire after the given time. */
    explicit OfferRegistry(Duration lifetime);

    /** Adds or renews an announcement. Returns whether the offers changed. */
    bool announce(const UpstreamAnnounced &announcement, Instant now);

    /** Removes an offer. Returns whether the offers changed. */
    bool withdraw(const std::string &service);

    /** Removes the offers whose announcement has expired, and returns their services. */
    std::vector<std::string> removeExpired(Instant now);

    /** Returns the offers that have not been removed. */
    [[nodiscard]] std::vector<ServiceOffer> offers() const;

    /** Returns the time at which the first announcement expires. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    struct Announced
    {
        ServiceOffer offer;
        Instant until;
    };

    Duration m_lifetime;
    std::map<std::string, Announced> m_announced;
};

} // namespace lagoonroute
