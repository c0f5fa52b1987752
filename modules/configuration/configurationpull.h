#pragma once

#include "retrypace.h"

#include <lagoonroute/configuration/configurationcore.h>

#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** Decides when to ask which peer for its configuration. */
class ConfigurationPull
{
public:
    explicit ConfigurationPull(const ConfigurationCore::Options &options);

    /** Takes the live peers; what was known of others is forgotten. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Notes the revision of a peer. */
    void see(NodeId peer, Revision revision, Instant now);

    /** Notes that a peer answered a question, and the revision that it named. */
    void answered(NodeId peer, Revision revision, Instant now);

    /** Notes that a peer's document was refused: for a while no revision of that peer counts. */
    void refused(NodeId peer, Instant now);

    /** Appends the questions that are due, given the revision in force. */
    void advance(Revision inForce, Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Time at which advance() is due again. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Revision seen at a peer; 0 when none was. */
    [[nodiscard]] Revision seenAt(NodeId peer) const;

    /** Highest revision seen at a live peer. */
    [[nodiscard]] Revision highestSeen() const;

    /** Whether questions wait for an answer. */
    [[nodiscard]] bool isAsking() const noexcept
    {
        return !m_asked.empty();
    }

private:
    void start(Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);
    void expire(Instant now, SeededRandom &random, ConfigurationCounts &counts);
    void ask(NodeId peer, Revision inForce, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);
    [[nodiscard]] std::vector<NodeId> newestPeers() const;

    ConfigurationCore::Options m_options;
    RetryPace m_pace;
    std::vector<NodeId> m_peers;
    std::map<NodeId, Revision> m_seen;
    std::map<NodeId, Instant> m_asked; /**< With the time at which the answer is overdue. */
    std::map<NodeId, Instant> m_distrusted; /**< With the time at which the peer counts again. */
    std::optional<Instant> m_askAt;
    bool m_started = false;
};

} // namespace lagoonroute
