#pragma once

#include "retrypace.h"

#include <lagoonroute/configuration/configurationcore.h>

#include <optional>
#include <vector>

namespace lagoonroute
{

/** Decides whether and when to call the platform's store. One call is out at a time. */
class ConfigurationWatch
{
public:
    explicit ConfigurationWatch(const ConfigurationCore::Options &options);

    /** Takes the live processes, from which follows whether this one watches. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Whether this process watches the store. */
    [[nodiscard]] bool isWatcher() const noexcept
    {
        return m_isWatcher;
    }

    /** Whether the store ever said that there is no configuration. */
    [[nodiscard]] bool isKnownEmpty() const noexcept
    {
        return m_isKnownEmpty;
    }

    /** Takes an answer. Returns the value that it brought, if any. */
    std::optional<std::string> handle(const StoreReply &reply, Instant now, SeededRandom &random);

    /** Appends the call that is due; `mayRead` lets a process read that does not watch. */
    void advance(bool mayRead, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Time at which advance() is due again. */
    [[nodiscard]] std::optional<Instant> nextWake(bool mayRead) const;

private:
    ConfigurationCore::Options m_options;
    RetryPace m_pace;
    bool m_isWatcher = false;
    bool m_isKnownEmpty = false;
    bool m_isCalling = false;
    std::uint64_t m_callNumber = 0;
    StoreVersion m_knownVersion = 0;
    Instant m_callAt{};
};

} // namespace lagoonroute
