#pragma once

#include "retrybackoff.h"

#include <lagoonroute/configuration/configurationcore.h>

#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** Decides when to request the configuration and from which peer. */
class ConfigurationPull
{
public:
    explicit ConfigurationPull(const ConfigurationCore::Options &options);

    /** Sets the running peers and discards the state of all others. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Records the revision of a peer. */
    void recordRevision(NodeId peer, Revision revision, Instant now);

    /** Records that a peer answered a request, and the revision that it reported. */
    void recordAnswer(NodeId peer, Revision revision, Instant now);

    /** Records that a peer's document was rejected; the revisions of that peer are ignored for a period. */
    void recordRejection(NodeId peer, Instant now);

    /** Appends the requests that are due, given the revision in force. */
    void advance(Revision inForce, Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Returns the time at which advance() is due again, if any. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Returns the last known revision of a peer; 0 when none is known. */
    [[nodiscard]] Revision revisionAt(NodeId peer) const;

    /** Returns the highest known revision of a running peer; 0 when none is known. */
    [[nodiscard]] Revision highestRevision() const;

    /** Whether any request is unanswered. */
    [[nodiscard]] bool hasPendingRequests() const noexcept
    {
        return !m_pendingRequests.empty();
    }

private:
    void sendStartupRequests(Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);
    void expireRequests(Instant now, SeededRandom &random, ConfigurationCounts &counts);
    void sendRequest(NodeId peer, Revision inForce, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);
    [[nodiscard]] std::vector<NodeId> newestPeers() const;

    ConfigurationCore::Options m_options;
    RetryBackoff m_backoff;
    std::vector<NodeId> m_peers;
    std::map<NodeId, Revision> m_revisions;
    std::map<NodeId, Instant> m_pendingRequests; /**< Deadline of the answer, by peer. */
    std::map<NodeId, Instant> m_excludedUntil; /**< End of the exclusion period, by peer. */
    std::optional<Instant> m_nextRequestAt;
    bool m_startupRequestsSent = false;
};

} // namespace lagoonroute
