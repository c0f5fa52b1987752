#include <lagoonroute/direct/upstreamcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Time in which orders of an earlier incarnation of the agent may still be on their way. */
constexpr Duration earlierOrderTime = 60ms;
/** Time after which a link without a handshake is closed. */
constexpr Duration handshakeTimeout = 2s;

} // namespace

void UpstreamCore::openLink(LinkId link, Instant now, UpstreamActions &actions)
{
    Link &opened = m_links[link];
    opened = Link{};
    opened.contactUntil = now + handshakeTimeout;
    handleTimers(now, actions);
}

void UpstreamCore::closeLink(LinkId link, Instant now, UpstreamActions &actions)
{
    if (m_links.erase(link) == 0) {
        return;
    }
    m_documents.linkClosed(link);
    m_drains.linkClosed(link);
    m_capacityAnnouncer.close(link);
    m_reservation.close(link, now);
    for (auto &[task, run] : m_runs) {
        if (run.link == link) {
            requestStop(task, run, now, actions);
        }
    }
    handleTimers(now, actions);
}

void UpstreamCore::dropLink(LinkId link, const std::string &reason, Instant now, UpstreamActions &actions)
{
    const auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    note(actions, "link-dropped", found->second.entry, reason, true);
    actions.emplace_back(CloseLink{ link });
    closeLink(link, now, actions);
}

void UpstreamCore::receive(LinkId linkId, const LinkMessage &message, Instant now, UpstreamActions &actions)
{
    const auto found = m_links.find(linkId);
    if (found == m_links.end()) {
        return;
    }
    exchangeDrains(linkId, message, actions);
    Link &link = found->second;
    if (const auto *hello = std::get_if<EntryHello>(&message)) {
        link.entry = hello->node;
        link.address = hello->address;
        link.contactUntil = now + handshakeTimeout;
    } else if (const auto *echo = std::get_if<EntryEcho>(&message)) {
        const Instant heartbeatSentAt = std::min(Instant(Duration(echo->clock)), now);
        link.contactUntil = std::max(link.contactUntil, heartbeatSentAt + m_options.linkTimeout);
    } else if (const auto *start = std::get_if<StartTasks>(&message)) {
        for (const TaskStart &task : start->tasks) {
            startRun(linkId, link, *start, task, now, actions);
        }
    } else if (const auto *stop = std::get_if<StopTask>(&message)) {
        const auto run = m_runs.find(stop->task);
        if (run != m_runs.end() && run->second.run == stop->run && run->second.link == linkId) {
            requestStop(stop->task, run->second, now, actions);
        }
    } else if (const auto *capacityRequest = std::get_if<CapacityRequest>(&message)) {
        m_capacityAnnouncer.setRequest(linkId, *capacityRequest, now);
        m_reservation.setRequest(linkId, *capacityRequest, now);
    } else if (const auto *clearance = std::get_if<ClearanceRequest>(&message)) {
        link.clearances[clearance->entry] = clearance->loss;
    } else if (const auto *offered = std::get_if<ConfigurationDocument>(&message)) {
        m_documents.noticeReceived(linkId, offered->version, now);
        m_documents.update(*offered);
    } else if (const auto *notice = std::get_if<DocumentNotice>(&message)) {
        m_documents.noticeReceived(linkId, notice->version, now);
    } else if (std::holds_alternative<DocumentRequest>(message)) {
        m_documents.requestReceived(linkId);
    }
    handleTimers(now, actions);
}

void UpstreamCore::exchangeDocuments(Instant now, UpstreamActions &actions)
{
    for (SendOnLink &message : m_documents.handleTimers(now)) {
        actions.emplace_back(std::move(message));
    }
}

void UpstreamCore::exchangeDrains(LinkId link, const LinkMessage &message, UpstreamActions &actions)
{
    for (DecisionNote &change : m_drains.receive(link, message)) {
        actions.emplace_back(std::move(change));
    }
    for (SendOnLink &notice : m_drains.takeNotices()) {
        actions.emplace_back(std::move(notice));
    }
}

bool UpstreamCore::haveEarlierLeasesEnded(Instant now) const
{
    return m_startedAt && m_hostClock.at(now) > *m_startedAt + earlierOrderTime + m_lease.longestTime();
}

bool UpstreamCore::canSendHello(const Link &link, LinkId linkId, Instant now) const
{
    if (link.helloSent || link.entry.empty()) {
        return false;
    }
    return isCleared(link.entry, linkId, now);
}

bool UpstreamCore::isCleared(const std::string &entry, LinkId except, Instant now) const
{
    const bool areEarlierRunsOver = m_phase == Phase::Serving || haveEarlierLeasesEnded(now);
    const bool hasRuns = std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &item) { return item.second.entry == entry && item.second.link != except; });
    return areEarlierRunsOver && !hasRuns;
}

void UpstreamCore::sendClearances(Instant now, UpstreamActions &actions)
{
    const auto isLinked = [this](const std::string &entry) {
        return std::any_of(m_links.begin(), m_links.end(), [&entry](const auto &item) { return item.second.entry == entry; });
    };
    for (auto &item : m_links) {
        Link &link = item.second;
        std::erase_if(link.clearances, [&, id = item.first](const auto &request) {
            const auto &[entry, loss] = request;
            if (isLinked(entry) || !isCleared(entry, 0, now)) {
                return false;
            }
            actions.emplace_back(SendOnLink{ id, EntryClearance{ entry, m_options.node, loss } });
            note(actions, "entry-cleared", entry, "by way of " + link.entry);
            return true;
        });
    }
}

void UpstreamCore::sendHellos(Instant now, UpstreamActions &actions)
{
    for (auto &[id, link] : m_links) {
        if (!canSendHello(link, id, now)) {
            continue;
        }
        link.helloSent = true;
        link.contactUntil = now + m_options.linkTimeout;
        m_capacityAnnouncer.open(id);
        const LinkFeatures features = m_drains.features() | capacityReservationFeature | unconfirmedRunsFeature;
        actions.emplace_back(SendOnLink{ id, AgentHello{ m_options.node, m_options.zone, m_options.incarnation, features } });
        actions.emplace_back(SendOnLink{ id, offer() });
        actions.emplace_back(SendOnLink{ id, AgentHeartbeat{ now.time_since_epoch().count() } });
        note(actions, "link-greeted", link.entry, link.address);
        m_documents.subscribe(id);
    }
}

void UpstreamCore::announceOffer(UpstreamActions &actions)
{
    const AgentOffer current = offer();
    if (current == m_announcedOffer) {
        return;
    }
    m_announcedOffer = current;
    for (auto &[id, link] : m_links) {
        if (link.helloSent) {
            actions.emplace_back(SendOnLink{ id, current });
        }
    }
}

} // namespace lagoonroute
