#pragma once

#include <lagoonroute/direct/linkmessages.h>
#include <lagoonroute/direct/upstreamevents.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Availability zones in which no task may be started, as of one version of the platform's store. */
class ZoneDrains
{
public:
    /** Creates the value of a process that knows of no list: version 0, no zones. */
    ZoneDrains() = default;

    /** Creates the zones of the list that the store answered at the given version. */
    ZoneDrains(std::uint64_t version, std::set<std::string> zones);

    /** Creates the value that a neighbour has sent. */
    static ZoneDrains fromNotice(const ZoneDrainNotice &notice);

    /** Returns the message that sends this value to a neighbour. */
    [[nodiscard]] ZoneDrainNotice toNotice() const;

    /** Version of the store at the time of the list; 0 if none is known. */
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    [[nodiscard]] const std::set<std::string> &zones() const noexcept
    {
        return m_zones;
    }

    /** Returns whether no task may be started in the zone. */
    [[nodiscard]] bool contains(const std::string &zone) const
    {
        return m_zones.count(zone) != 0;
    }

    /** Returns a note for each zone whose drain begins or ends with the change from `earlier` to this value. */
    [[nodiscard]] std::vector<DecisionNote> changesSince(const ZoneDrains &earlier, std::string_view source) const;

    auto operator<=>(const ZoneDrains &) const = default;

private:
    std::uint64_t m_version = 0;
    std::set<std::string> m_zones;
};

} // namespace lagoonroute
