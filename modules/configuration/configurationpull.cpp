#include "configurationpull.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

/** Period for which a peer's revisions are ignored after it offered a document that was rejected. */
constexpr Duration exclusionPeriod = std::chrono::seconds(60);

} // namespace

ConfigurationPull::ConfigurationPull(const ConfigurationCore::Options &options)
    : m_options(options)
    , m_backoff(options.smallestBackoff, options.largestBackoff)
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
    std::erase_if(m_revisions, isGone);
    std::erase_if(m_pendingRequests, isGone);
    std::erase_if(m_excludedUntil, isGone);
}

void ConfigurationPull::recordRevision(NodeId peer, Revision revision, Instant now)
{
    const auto excluded = m_excludedUntil.find(peer);
    if (excluded != m_excludedUntil.end()) {
        if (now < excluded->second) {
            return;
        }
        m_excludedUntil.erase(excluded);
    }
    if (std::binary_search(m_peers.begin(), m_peers.end(), peer)) {
        Revision &known = m_revisions[peer];
        known = std::max(known, revision);
    }
}

void ConfigurationPull::recordAnswer(NodeId peer, Revision revision, Instant now)
{
    m_pendingRequests.erase(peer);
    m_backoff.reset();
    m_revisions.erase(peer);
    recordRevision(peer, revision, now);
}

void ConfigurationPull::recordRejection(NodeId peer, Instant now)
{
    m_revisions.erase(peer);
    m_excludedUntil.insert_or_assign(peer, now + exclusionPeriod);
}

void ConfigurationPull::advance(Revision inForce, Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    expireRequests(now, random, counts);
    sendStartupRequests(now, random, counts, actions);
    if (highestRevision() <= inForce) {
        m_nextRequestAt.reset();
        return;
    }
    if (!m_pendingRequests.empty()) {
        return;
    }
    if (!m_nextRequestAt) {
        m_nextRequestAt = now + random.upTo(m_options.requestJitter);
    }
    if (now < *m_nextRequestAt) {
        return;
    }
    m_nextRequestAt.reset();
    const std::vector<NodeId> newest = newestPeers();
    sendRequest(newest[random.below(newest.size())], inForce, now, counts, actions);
}

std::optional<Instant> ConfigurationPull::nextWake() const
{
    std::optional<Instant> wake = m_pendingRequests.empty() ? m_nextRequestAt : std::nullopt;
    for (const auto &[peer, answerDeadline] : m_pendingRequests) {
        wake = wake ? std::min(*wake, answerDeadline) : answerDeadline;
    }
    return wake;
}

Revision ConfigurationPull::revisionAt(NodeId peer) const
{
    const auto found = m_revisions.find(peer);
    return found == m_revisions.end() ? 0 : found->second;
}

Revision ConfigurationPull::highestRevision() const
{
    Revision highest = 0;
    for (const auto &[peer, revision] : m_revisions) {
        highest = std::max(highest, revision);
    }
    return highest;
}

void ConfigurationPull::sendStartupRequests(Instant now, SeededRandom &random, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    if (m_startupRequestsSent || m_peers.empty()) {
        return;
    }
    m_startupRequestsSent = true;
    std::vector<NodeId> candidates = m_peers;
    for (std::size_t count = 0; count < m_options.startupRequests && !candidates.empty(); ++count) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(random.below(candidates.size()));
        sendRequest(*chosen, 0, now, counts, actions);
        candidates.erase(chosen);
    }
}

void ConfigurationPull::expireRequests(Instant now, SeededRandom &random, ConfigurationCounts &counts)
{
    for (auto pending = m_pendingRequests.begin(); pending != m_pendingRequests.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        ++counts.unanswered;
        m_revisions.erase(pending->first);
        m_nextRequestAt = now + m_backoff.nextDelay(random);
        pending = m_pendingRequests.erase(pending);
    }
}

void ConfigurationPull::sendRequest(NodeId peer, Revision inForce, Instant now, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    ++counts.asked;
    m_pendingRequests.insert_or_assign(peer, now + m_options.requestTimeout);
    const SendConfigurationMessage request{ peer, RequestConfiguration{ inForce } };
    actions.emplace_back(request);
}

std::vector<NodeId> ConfigurationPull::newestPeers() const
{
    const Revision highest = highestRevision();
    std::vector<NodeId> newest;
    for (const auto &[peer, revision] : m_revisions) {
        if (revision == highest) {
            newest.push_back(peer);
        }
    }
    return newest;
}

} // namespace lagoonroute
