#include "configurationpull.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

/** Time for which a peer's revisions do not count after it offered a document that was refused. */
constexpr Duration distrustTime = std::chrono::seconds(60);

} // namespace

ConfigurationPull::ConfigurationPull(const ConfigurationCore::Options &options)
    : m_options(options)
    , m_pace(options.smallestBackoff, options.largestBackoff)
{
}

void ConfigurationPull::setPeers(const std::vector<ConfigurationPeer> &peers)
{
    m_peers.clear();
    for (const ConfigurationPeer &peer : peers) {
        if (peer.id != m_options.self) {
            m_peers.push_back(peer.id);
        }
    }
    std::sort(m_peers.begin(), m_peers.end());
    const auto isGone = [this](const auto &entry) { return !std::binary_search(m_peers.begin(), m_peers.end(), entry.first); };
    std::erase_if(m_seen, isGone);
    std::erase_if(m_asked, isGone);
    std::erase_if(m_distrusted, isGone);
}

void ConfigurationPull::see(NodeId peer, Revision revision, Instant now)
{
    const auto distrusted = m_distrusted.find(peer);
    if (distrusted != m_distrusted.end()) {
        if (now < distrusted->second) {
            return;
        }
        m_distrusted.erase(distrusted);
    }
    if (std::binary_search(m_peers.begin(), m_peers.end(), peer)) {
        Revision &known = m_seen[peer];
        known = std::max(known, revision);
    }
}

void ConfigurationPull::answered(NodeId peer, Revision revision, Instant now)
{
    m_asked.erase(peer);
    m_pace.succeed();
    m_seen.erase(peer);
    see(peer, revision, now);
}

void ConfigurationPull::refused(NodeId peer, Instant now)
{
    m_seen.erase(peer);
    m_distrusted.insert_or_assign(peer, now + distrustTime);
}

void ConfigurationPull::advance(Revision inForce, Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    expire(now, random, counts);
    start(now, random, counts, actions);
    if (highestSeen() <= inForce) {
        m_askAt.reset();
        return;
    }
    if (!m_asked.empty()) {
        return;
    }
    if (!m_askAt) {
        m_askAt = now + random.upTo(m_options.askJitter);
    }
    if (now < *m_askAt) {
        return;
    }
    m_askAt.reset();
    const std::vector<NodeId> newest = newestPeers();
    ask(newest[random.below(newest.size())], inForce, now, counts, actions);
}

std::optional<Instant> ConfigurationPull::nextWake() const
{
    std::optional<Instant> wake = m_asked.empty() ? m_askAt : std::nullopt;
    for (const auto &[peer, overdue] : m_asked) {
        wake = wake ? std::min(*wake, overdue) : overdue;
    }
    return wake;
}

Revision ConfigurationPull::seenAt(NodeId peer) const
{
    const auto seen = m_seen.find(peer);
    return seen == m_seen.end() ? 0 : seen->second;
}

Revision ConfigurationPull::highestSeen() const
{
    Revision highest = 0;
    for (const auto &[peer, revision] : m_seen) {
        highest = std::max(highest, revision);
    }
    return highest;
}

void ConfigurationPull::start(Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    if (m_started || m_peers.empty()) {
        return;
    }
    m_started = true;
    std::vector<NodeId> candidates = m_peers;
    for (std::size_t count = 0; count < m_options.startupAsks && !candidates.empty(); ++count) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(random.below(candidates.size()));
        ask(*chosen, 0, now, counts, actions);
        candidates.erase(chosen);
    }
}

void ConfigurationPull::expire(Instant now, SeededRandom &random, ConfigurationCounts &counts)
{
    for (auto asked = m_asked.begin(); asked != m_asked.end();) {
        if (now < asked->second) {
            ++asked;
            continue;
        }
        ++counts.unanswered;
        m_seen.erase(asked->first);
        m_askAt = now + m_pace.fail(random);
        asked = m_asked.erase(asked);
    }
}

void ConfigurationPull::ask(NodeId peer, Revision inForce, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    ++counts.asked;
    m_asked.insert_or_assign(peer, now + m_options.askTimeout);
    const SendConfigurationMessage question{ peer, RequestConfiguration{ inForce } };
    actions.emplace_back(question);
}

std::vector<NodeId> ConfigurationPull::newestPeers() const
{
    const Revision highest = highestSeen();
    std::vector<NodeId> newest;
    for (const auto &[peer, revision] : m_seen) {
        if (revision == highest) {
            newest.push_back(peer);
        }
    }
    return newest;
}

} // namespace lagoonroute
