#include <lagoonroute/direct/unconfirmedruns.h>

#include <algorithm>

namespace lagoonroute
{

UnconfirmedRunsExchange::UnconfirmedRunsExchange(std::string self, Incarnation incarnation)
    : m_self(std::move(self))
{
    m_own.incarnation = incarnation;
}

void UnconfirmedRunsExchange::announce(std::vector<std::string> jobs, std::vector<LostAgent> agents)
{
    if (jobs == m_own.jobs && agents == m_own.agents) {
        return;
    }
    m_own.jobs = std::move(jobs);
    m_own.agents = std::move(agents);
    ++m_own.number;
    m_mayHaveMessages = true;
}

std::optional<EntryClearance> UnconfirmedRunsExchange::receive(LinkId link, const LinkMessage &message, Instant now)
{
    if (const auto *agent = std::get_if<AgentHello>(&message)) {
        if ((agent->features & unconfirmedRunsFeature) != 0) {
            m_agentNames[link] = agent->node;
            m_mayHaveMessages = true;
        }
    } else if (const auto *entry = std::get_if<EntryHello>(&message)) {
        if ((entry->features & unconfirmedRunsFeature) != 0) {
            m_peers[link] = Peer{ .node = entry->node };
            m_mayHaveMessages = true;
        }
    } else if (const auto *runs = std::get_if<UnconfirmedRuns>(&message)) {
        const auto peer = m_peers.find(link);
        if (peer != m_peers.end()) {
            peer->second.incarnation = runs->incarnation;
            Announcement &known = m_announcements[{ peer->second.node, runs->incarnation }];
            known.receivedAt = now;
            if (runs->number > known.runs.number) { // two links to one entry may deliver out of order
                known.runs = *runs;
                updateAnnouncedJobs();
                discardObsoleteRequests();
                m_mayHaveMessages = true;
            }
        }
    } else if (const auto *clearance = std::get_if<EntryClearance>(&message)) {
        if (clearance->entry == m_self) {
            return *clearance;
        }
        if (m_agentNames.count(link) != 0) {
            for (const auto &[peerLink, peer] : m_peers) {
                if (peer.node == clearance->entry) {
                    m_forwarded.push_back(SendOnLink{ peerLink, *clearance });
                    m_mayHaveMessages = true;
                }
            }
        }
    }
    return std::nullopt;
}

void UnconfirmedRunsExchange::linkClosed(LinkId link, Instant now)
{
    const auto peer = m_peers.find(link);
    if (peer != m_peers.end()) {
        for (auto &[holder, announcement] : m_announcements) {
            if (holder.first == peer->second.node) {
                announcement.receivedAt = now;
            }
        }
        m_peers.erase(peer);
    }
    m_agentNames.erase(link);
    std::erase_if(m_requested, [link](const auto &request) { return std::get<0>(request) == link; });
}

void UnconfirmedRunsExchange::discardOlderThan(Duration retention, Instant now)
{
    const auto discarded = std::erase_if(m_announcements, [&](const auto &item) {
        const bool isLinked = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto &peer) {
            return peer.second.node == item.first.first && peer.second.incarnation == item.first.second;
        });
        const bool isOver = item.second.runs.jobs.empty() && item.second.runs.agents.empty();
        return now - item.second.receivedAt > retention && (!isLinked || isOver);
    });
    if (discarded > 0) {
        updateAnnouncedJobs();
        discardObsoleteRequests();
    }
}

void UnconfirmedRunsExchange::discardObsoleteRequests()
{
    std::erase_if(m_requested, [this](const auto &request) {
        const auto &entry = std::get<1>(request);
        const std::int64_t loss = std::get<2>(request);
        return std::none_of(m_announcements.begin(), m_announcements.end(), [&](const auto &item) {
            const auto &agents = item.second.runs.agents;
            return item.first.first == entry && std::any_of(agents.begin(), agents.end(), [loss](const LostAgent &lost) { return lost.loss == loss; });
        });
    });
}

void UnconfirmedRunsExchange::updateAnnouncedJobs()
{
    m_announcedJobs.clear();
    for (const auto &[holder, announcement] : m_announcements) {
        m_announcedJobs.insert(announcement.runs.jobs.begin(), announcement.runs.jobs.end());
    }
}

std::vector<SendOnLink> UnconfirmedRunsExchange::takeMessages()
{
    if (!std::exchange(m_mayHaveMessages, false)) {
        return {};
    }
    std::vector<SendOnLink> messages = std::exchange(m_forwarded, {});
    for (auto &[link, peer] : m_peers) {
        if (peer.sentNumber != m_own.number) {
            peer.sentNumber = m_own.number;
            messages.push_back(SendOnLink{ link, m_own });
        }
    }
    addClearanceRequests(messages);
    return messages;
}

void UnconfirmedRunsExchange::addClearanceRequests(std::vector<SendOnLink> &messages)
{
    for (const auto &[holder, announcement] : m_announcements) {
        for (const LostAgent &lost : announcement.runs.agents) {
            for (const auto &[link, agent] : m_agentNames) {
                if (agent == lost.agent && m_requested.emplace(link, holder.first, lost.loss).second) {
                    messages.push_back(SendOnLink{ link, ClearanceRequest{ holder.first, lost.loss } });
                }
            }
        }
    }
}

} // namespace lagoonroute
