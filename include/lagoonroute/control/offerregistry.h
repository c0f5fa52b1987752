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
 * Knows which services the upstream beside this agent offers.
 *
 * An announcement holds for a limited time and is repeated by the upstream; silence withdraws it.
 */
class OfferRegistry
{
public:
    /** Creates a keeper for which an announcement holds for the given time. */
    explicit OfferRegistry(Duration lifetime);

    /** Takes an announcement. Returns whether the offers changed. */
    bool announce(const UpstreamAnnounced &announcement, Instant now);

    /** Takes back an offer. Returns whether the offers changed. */
    bool withdraw(const std::string &service);

    /** Returns the services whose announcement has not been repeated in time, and takes them back. */
    std::vector<std::string> removeExpired(Instant now);

    /** The offers that hold. */
    [[nodiscard]] std::vector<ServiceOffer> offers() const;

    /** Time at which the first announcement runs out. */
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
