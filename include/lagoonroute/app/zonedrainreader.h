#pragma once

#include <lagoonroute/direct/zonedrains.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/store/prefixfollower.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace lagoonroute
{

/** Reads the zone drains that the operator has written into the platform's store. */
class ZoneDrainReader
{
public:
    /** Returns the zone that an entry of the store drains, or nothing if the entry is unreadable. */
    using ReadZone = std::function<std::optional<std::string>(const StoreItem &)>;

    /** Creates a reader that follows the given prefix, with the given call number. One that is not enabled makes no call. */
    ZoneDrainReader(bool isEnabled, std::string prefix, ReadZone readZone, std::uint64_t callNumber, std::uint64_t seed);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Handles the answer to the pending call; answers to other calls are ignored. Returns the drains if they were listed. Logs each unreadable entry once for
     * each of its versions. */
    std::optional<ZoneDrains> handle(const StoreReply &reply, Instant now);

    /** Returns the time of the next call, or nothing while a call is pending or the reader is not enabled. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    bool m_isEnabled;
    PrefixFollower m_follower;
    ReadZone m_readZone;
    std::map<std::string, StoreVersion> m_unreadable; // unreadable entries of the last list that are logged already, by key
};

/** Sets the metrics about zone drains. */
void setZoneDrainMetrics(MetricsRegistry &metrics, const ZoneDrains &drains);

} // namespace lagoonroute
