#pragma once

#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/direct/zonedrains.h>

#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Holds the newest known zone drains of a process, and decides which neighbours are notified of them.
 *
 * A neighbour is notified on a new link, when the set of zones changes, and when it has sent an older, different set. A higher
 * version with the same zones is not passed on: nearly every list of the store has one.
 */
class DrainExchange
{
public:
    /** Creates an exchange. One that is not enabled knows of no drains and sends no messages. */
    explicit DrainExchange(bool isEnabled);

    [[nodiscard]] bool isEnabled() const noexcept
    {
        return m_isEnabled;
    }

    /** Returns the extension of the link protocol that this process states in its hello; 0 if the exchange is not enabled. */
    [[nodiscard]] LinkFeatures features() const noexcept
    {
        return m_isEnabled ? zoneDrainFeature : 0;
    }

    /** Newest known drains; version 0 while there are none. */
    [[nodiscard]] const ZoneDrains &current() const noexcept
    {
        return m_current;
    }

    /** Replaces the drains if the given ones, read from the store, have a higher version. Returns a note for each zone that changes. */
    std::vector<DecisionNote> update(const ZoneDrains &drains);

    /** Handles a message that may concern the exchange: a hello, or a notice. Returns a note for each zone that changes. */
    std::vector<DecisionNote> receive(LinkId link, const LinkMessage &message);

    /** Discards the state of a closed link; the drains are kept. */
    void linkClosed(LinkId link);

    /** Returns the notices that are due. */
    std::vector<SendOnLink> takeNotices();

private:
    std::vector<DecisionNote> replace(const ZoneDrains &drains, std::string_view source);
    void subscribe(LinkId link, LinkFeatures features);

    bool m_isEnabled;
    ZoneDrains m_current;
    std::map<LinkId, std::optional<ZoneDrains>> m_neighbours; // last value sent to or received from each; no value before the first
};

} // namespace lagoonroute
