#pragma once

#include "retrybackoff.h"

#include <lagoonroute/configuration/configurationcore.h>

#include <optional>
#include <vector>

namespace lagoonroute
{

/** Decides whether and when to call the platform's store. At most one call is pending at a time. */
class ConfigurationWatch
{
public:
    explicit ConfigurationWatch(const ConfigurationCore::Options &options);

    /** Sets the running processes, which determine whether this one watches the store. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Whether this process watches the store. */
    [[nodiscard]] bool isWatcher() const noexcept
    {
        return m_isWatcher;
    }

    /** Whether the store has ever reported that there is no configuration. */
    [[nodiscard]] bool isKnownEmpty() const noexcept
    {
        return m_isKnownEmpty;
    }

    /** Processes an answer. Returns the value that it contains, if any. */
    std::optional<std::string> handle(const StoreReply &reply, Instant now, SeededRandom &random);

    /** Appends the call that is due, if any. `mayRead` allows a process that does not watch the store to read it. */
    void advance(bool mayRead, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Returns the time at which advance() is due again, if any. */
    [[nodiscard]] std::optional<Instant> nextWake(bool mayRead) const;

private:
    ConfigurationCore::Options m_options;
    RetryBackoff m_backoff;
    bool m_isWatcher = false;
    bool m_isKnownEmpty = false;
    bool m_isCallPending = false;
    std::uint64_t m_callNumber = 0;
    StoreVersion m_knownVersion = 0;
    Instant m_callAt{};
};

} // namespace lagoonroute
