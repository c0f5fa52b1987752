#pragma once

#include <lagoonroute/direct/upstreamevents.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace lagoonroute
{

/**
 * Exchange between entries about runs that may go on although their entry cannot reach their agent.
 *
 * An entry announces its jobs with such runs, so that no other entry starts a resubmission beside them, and the agents that it has lost.
 * Another entry that is linked to such an agent requests its clearance and passes it on: the agent's own word that no run is left.
 */
class UnconfirmedRunsExchange
{
public:
    /** Creates the exchange of the entry with the given name. */
    UnconfirmedRunsExchange(std::string self, Incarnation incarnation);

    /** Extension of the link protocol that this process states in its hello. */
    [[nodiscard]] static constexpr LinkFeatures features()
    {
        return unconfirmedRunsFeature;
    }

    /** Sets the jobs and the lost agents to announce. */
    void announce(std::vector<std::string> jobs, std::vector<LostAgent> agents);

    /** Handles a message that may concern the exchange. Returns a clearance for this entry, if the message is one. */
    std::optional<EntryClearance> receive(LinkId link, const LinkMessage &message, Instant now);

    /** Handles a closed link. What the entry at its other end has announced is kept. */
    void linkClosed(LinkId link, Instant now);

    /** Discards what entries have announced that have had no link for longer than the given time. */
    void discardOlderThan(Duration retention, Instant now);

    /** Returns whether another entry has announced the job. */
    [[nodiscard]] bool isAnnounced(const std::string &job) const
    {
        return m_announcedJobs.count(job) != 0;
    }

    /** Jobs that other entries have announced. */
    [[nodiscard]] const std::set<std::string> &announcedJobs() const noexcept
    {
        return m_announcedJobs;
    }

    /** Returns the messages that are due. */
    std::vector<SendOnLink> takeMessages();

private:
    /** What one incarnation of another entry has announced. */
    struct Announcement
    {
        UnconfirmedRuns runs;
        Instant receivedAt;
    };

    struct Peer
    {
        std::string node;
        std::uint64_t sentNumber = 0; // of the announcement that was sent last
        std::optional<Incarnation> incarnation; // that it has announced on this link
    };

    void addClearanceRequests(std::vector<SendOnLink> &messages);
    /** Forgets the clearance requests for losses that are no longer announced. */
    void discardObsoleteRequests();
    void updateAnnouncedJobs();

    std::string m_self;
    UnconfirmedRuns m_own;
    std::map<LinkId, Peer> m_peers;
    std::map<LinkId, std::string> m_agentNames; // of the agents that answer clearance requests
    std::map<std::pair<std::string, Incarnation>, Announcement> m_announcements; // by entry
    std::set<std::string> m_announcedJobs;
    std::set<std::tuple<LinkId, std::string, std::int64_t>> m_requested; // clearance requests: link to the agent, entry, loss
    std::vector<SendOnLink> m_forwarded;
    bool m_mayHaveMessages = false; // so that other messages cost no search
};

} // namespace lagoonroute
