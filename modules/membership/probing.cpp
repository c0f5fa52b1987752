#include "probing.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

constexpr std::size_t maxRelays = 256;
constexpr std::size_t maxPreferred = 16;

bool isProbed(const MemberTable &members, NodeId node, NodeId self)
{
    const MemberEntry *entry = members.find(node);
    return node != self && entry != nullptr && entry->member.status != MemberStatus::Dead;
}

} // namespace

void ProbeOrder::prefer(NodeId node)
{
    const bool isKnown = std::find(m_preferred.begin(), m_preferred.end(), node) != m_preferred.end();
    if (!isKnown && m_preferred.size() < maxPreferred) {
        m_preferred.push_back(node);
    }
}

std::optional<NodeId> ProbeOrder::next(const MemberTable &members, NodeId self, std::mt19937_64 &random)
{
    while (!m_preferred.empty()) {
        const NodeId node = m_preferred.front();
        m_preferred.erase(m_preferred.begin());
        if (isProbed(members, node, self)) {
            return node;
        }
    }
    for (int round = 0; round < 2; ++round) {
        while (!m_round.empty()) {
            const NodeId node = m_round.back();
            m_round.pop_back();
            if (isProbed(members, node, self)) {
                return node;
            }
        }
        for (const auto &[id, entry] : members.entries()) {
            m_round.push_back(id);
        }
        std::shuffle(m_round.begin(), m_round.end(), random);
    }
    return std::nullopt;
}

bool ProbeRelays::add(std::uint64_t sequence, const Requester &requester, Instant now)
{
    std::erase_if(m_requesters, [now](const auto &entry) { return entry.second.until <= now; });
    if (m_requesters.size() >= maxRelays) {
        return false;
    }
    m_requesters[sequence] = requester;
    return true;
}

std::optional<ProbeRelays::Requester> ProbeRelays::take(std::uint64_t sequence, Instant now)
{
    const auto found = m_requesters.find(sequence);
    if (found == m_requesters.end()) {
        return std::nullopt;
    }
    const Requester requester = found->second;
    m_requesters.erase(found);
    return requester.until > now ? std::optional(requester) : std::nullopt;
}

std::vector<NodeId> drawMembers(const MemberTable &members, std::size_t count, NodeId self, NodeId other, std::mt19937_64 &random)
{
    std::vector<NodeId> candidates;
    for (const auto &[id, entry] : members.entries()) {
        if (id != self && id != other && entry.member.status != MemberStatus::Dead) {
            candidates.push_back(id);
        }
    }
    for (std::size_t drawn = 0; drawn < std::min(count, candidates.size()); ++drawn) {
        std::swap(candidates[drawn], candidates[drawn + (random() % (candidates.size() - drawn))]);
    }
    candidates.resize(std::min(count, candidates.size()));
    return candidates;
}

} // namespace lagoonroute
