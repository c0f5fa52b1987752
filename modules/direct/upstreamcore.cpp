#include <lagoonroute/direct/upstreamcore.h>

#include "upstreamtimes.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

} // namespace

UpstreamCore::Options UpstreamCore::Options::withNode(std::string name, std::string availabilityZone, Incarnation processIncarnation) const
{
    Options changed = *this;
    changed.node = std::move(name);
    changed.zone = std::move(availabilityZone);
    changed.incarnation = processIncarnation;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withFirstToken(std::uint64_t token) const
{
    Options changed = *this;
    changed.firstToken = token;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withLease(Duration term) const
{
    Options changed = *this;
    changed.lease = term;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withLongestLease(Duration limit) const
{
    Options changed = *this;
    changed.longestLease = limit;
    changed.lease = std::min(changed.lease, limit * 4 / 5);
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withOfferLifetime(Duration time) const
{
    Options changed = *this;
    changed.offerLifetime = time;
    return changed;
}

UpstreamCore::Options UpstreamCore::Options::withZoneDrains(bool isEnabled) const
{
    Options changed = *this;
    changed.hasZoneDrains = isEnabled;
    return changed;
}

UpstreamCore::UpstreamCore(Options options)
    : m_options(std::move(options))
    , m_token(m_options.firstToken)
    , m_lease(m_options.lease, m_options.longestLease, m_options.orderTimeout)
    , m_drains(m_options.hasZoneDrains)
    , m_documents(DocumentExchange::Options().withRequestDelay(0ms))
{
}

void UpstreamCore::handle(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    const bool isSameIncarnation = report.id == m_report.id && report.incarnationStart == m_report.incarnationStart;
    if (isSameIncarnation && (report.sequence <= m_report.sequence || report.service != m_report.service)) {
        return;
    }
    if (m_incarnationStart != 0 && report.incarnationStart != 0 && report.incarnationStart != m_incarnationStart) {
        // Either a new incarnation or a delayed report of an old one: the upstream's own list shows which.
        m_otherIncarnation = report;
        scheduleQuery(now, 0ms);
        handleTimers(now, actions);
        return;
    }
    adopt(report, now, actions);
    handleTimers(now, actions);
}

void UpstreamCore::adopt(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || report.id != m_report.id || report.incarnationStart != m_report.incarnationStart || report.isDraining != m_report.isDraining) {
        note(actions, "upstream-report", report.id, report.isDraining ? "draining" : "ready");
    }
    m_report = report;
    persistReport(report, actions);
    m_hasReport = true;
    m_reportedAt = now;
}

/** Persists a report for the next incarnation of the agent. */
void UpstreamCore::persistReport(const UpstreamReport &report, UpstreamActions &actions)
{
    UpstreamReport kept = report;
    kept.sequence = 0; // so that the next incarnation of the agent accepts every later report
    if (report.incarnationStart != 0 && kept != m_persistedReport) {
        m_persistedReport = kept;
        actions.emplace_back(PersistReport{ kept });
    }
}

void UpstreamCore::restoreReport(const UpstreamReport &kept, Instant now, UpstreamActions &actions)
{
    m_restoredReport = kept;
    applyRestoredReport(now, actions);
    handleTimers(now, actions);
}

void UpstreamCore::applyRestoredReport(Instant now, UpstreamActions &actions)
{
    if (!m_restoredReport || m_incarnationStart == 0) {
        return;
    }
    const UpstreamReport kept = *std::exchange(m_restoredReport, std::nullopt);
    const bool hasLeft = m_report.incarnationStart == kept.incarnationStart; // or its reports have stopped since
    if (!m_hasReport && !hasLeft && kept.incarnationStart == m_incarnationStart) {
        m_persistedReport = kept;
        adopt(kept, now, actions);
    }
}

void UpstreamCore::handle(const UpstreamLeft &left, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || left.id != m_report.id) {
        return;
    }
    // The notice does not name an incarnation: it may be a delayed one of an earlier incarnation. So nothing is started
    // until a newer report arrives, and runs continue until the upstream's own list, or the lack of one, shows that they
    // are over.
    note(actions, "upstream-left", m_report.id, std::to_string(m_runs.size()) + " runs listed last", true);
    m_hasReport = false;
    UpstreamReport last = m_report;
    last.isDraining = true;
    persistReport(last, actions);
    scheduleQuery(now, 0ms);
    handleTimers(now, actions);
}

void UpstreamCore::beginFencing(Instant now, UpstreamActions &actions)
{
    enterPhase(Phase::Fencing);
    m_unexpectedRuns = 0;
    queryStatus(now, 0ms, actions);
}

void UpstreamCore::changeIncarnation(std::int64_t incarnationStart, Instant now, UpstreamActions &actions)
{
    if (m_otherIncarnation && m_otherIncarnation->incarnationStart == incarnationStart) {
        const UpstreamReport report = *std::exchange(m_otherIncarnation, std::nullopt);
        m_incarnationStart = incarnationStart;
        adopt(report, now, actions);
    }
    m_otherIncarnation.reset();
    m_incarnationStart = incarnationStart;
    if (m_hasReport && m_report.incarnationStart != 0 && m_report.incarnationStart != incarnationStart) {
        m_hasReport = false;
    }
    note(actions, "upstream-life", m_report.id, "born " + std::to_string(incarnationStart));
    // Orders that the earlier incarnation never carried out may still reach this one; a higher token makes it reject them.
    m_token = std::max(m_token + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, incarnationStart)));
    m_lastSeenEnd = 0;
    m_unexpectedRuns = 0;
    // The new incarnation may have accepted starts before this list or after it. A list that is requested from now on, under the
    // raised token, shows which runs are there, and that the others are over.
    for (auto &[task, run] : m_runs) {
        run.phaseQuery = m_lastQuery;
    }
    enterPhase(Phase::Fencing);
}

void UpstreamCore::processPaused(Instant now, UpstreamActions &actions)
{
    note(actions, "stalled", m_options.node, "all links are dropped", true);
    while (!m_links.empty()) {
        dropLink(m_links.begin()->first, "this process was paused", now, actions);
    }
}

void UpstreamCore::hostSuspended(Duration length)
{
    m_hostClock.exclude(length);
}

void UpstreamCore::beginStop(Instant now, UpstreamActions &actions)
{
    if (!std::exchange(m_isStopping, true)) {
        note(actions, "stop-begun", m_options.node, std::to_string(m_runs.size()) + " runs left");
    }
    handleTimers(now, actions);
}

/**
 * Handles a refused connection. The upstream has ended, or only its connections are refused and its runs go on: they stay
 * accounted for until a list or the end of their lease shows that they are over.
 */
void UpstreamCore::connectionRefused(Instant now, UpstreamActions &actions)
{
    if (!isUnresponsive()) {
        note(actions, "upstream-refuses", m_report.id, std::to_string(m_runs.size()) + " runs under a lease", true);
    }
    doubtIncarnation();
    m_failedQueries = std::max(m_failedQueries, tolerableFailedQueries + 1);
    m_nextQueryAt = now + queryRetry;
}

bool UpstreamCore::isUnresponsive() const
{
    return m_failedQueries > tolerableFailedQueries;
}

bool UpstreamCore::isOpen() const
{
    return m_phase == Phase::Serving && m_hasReport && !m_report.isDraining && !m_isStopping && !isUnresponsive() && !zoneDrains().contains(m_options.zone);
}

Resources UpstreamCore::freeCapacity() const
{
    // The needs of an unexpected run are not known, so nothing fits beside it.
    if (!isOpen() || m_unexpectedRuns > 0) {
        return {};
    }
    return m_report.capacity - m_used;
}

std::size_t UpstreamCore::entries() const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [](const auto &item) { return item.second.helloSent; }));
}

OrderHeader UpstreamCore::header() const
{
    return OrderHeader{ m_hasReport ? m_report.id : std::string(), m_token };
}

AgentOffer UpstreamCore::offer() const
{
    if (!m_hasReport) {
        return AgentOffer{};
    }
    return AgentOffer{ isOpen(), m_report.service, m_report.capacity, m_report.labels };
}

void UpstreamCore::handleTimers(Instant now, UpstreamActions &actions)
{
    m_hostClock.advance(now);
    if (!m_startedAt) {
        m_startedAt = m_hostClock.at(now);
        m_nextQueryAt = now;
    }
    if (m_hasReport && now - m_reportedAt > m_options.offerLifetime) {
        note(actions, "upstream-quiet", m_report.id, "no report within the offer lifetime", true);
        m_hasReport = false;
        if (!m_report.isDraining) {
            m_report.sequence = 0; // it may have come from another writer, with a number that the upstream never reaches
        }
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto current = link++;
        if (now > current->second.contactUntil) {
            dropLink(current->first, "no echo", now, actions);
            return; // dropLink() has called handleTimers() already
        }
    }
    recheckRuns(now, actions);
    if (now >= m_nextQueryAt) {
        queryStatus(now, !usesLongPolling() ? Duration(0) : (m_runs.empty() ? m_options.idleQueryWait : m_options.busyQueryWait), actions);
    }
    renewLease(now, actions);
    sendHeartbeats(now, actions);
    sendHellos(now, actions);
    sendClearances(now, actions);
    announceOffer(actions);
    announceFreeCapacity(now, actions);
    exchangeDocuments(now, actions);
}

/** Sends heartbeats on all links at once, so that they share a wake-up. */
void UpstreamCore::sendHeartbeats(Instant now, UpstreamActions &actions)
{
    if (now < m_lastHeartbeatAt + m_options.heartbeatInterval) {
        return;
    }
    m_lastHeartbeatAt = now;
    for (const auto &[id, link] : m_links) {
        if (link.helloSent) {
            actions.emplace_back(SendOnLink{ id, AgentHeartbeat{ now.time_since_epoch().count() } });
        }
    }
}

std::optional<Instant> UpstreamCore::nextWake() const
{
    std::optional<Instant> earliest;
    const auto consider = [&earliest](Instant moment) {
        if (!earliest || moment < *earliest) {
            earliest = moment;
        }
    };
    if ((usesLongPolling() ? m_waitingQuery : m_renewingQuery) == 0) {
        consider(m_nextQueryAt);
    }
    if (m_extraQueryAt && m_renewingQuery == 0) {
        consider(std::max(*m_extraQueryAt, m_nextQueryAt));
    }
    if (!m_runs.empty() && m_renewingQuery == 0 && !hasOrphans(Instant::min())) { // handleTimers() has dropped the links without contact
        consider(std::max(nextRenewal(), m_nextQueryAt));
    }
    for (const auto &[task, run] : m_runs) {
        consider(m_hostClock.earliest(leaseEndOf(run)) + Duration(1));
        if (run.phase == RunPhase::Stopping) {
            consider(run.retryStopAt);
        }
    }
    for (const auto &[id, link] : m_links) {
        consider(link.contactUntil + Duration(1));
        if (link.helloSent) {
            consider(m_lastHeartbeatAt + m_options.heartbeatInterval);
        }
    }
    if (m_hasReport) {
        consider(m_reportedAt + m_options.offerLifetime + Duration(1));
    }
    for (const auto &wake : { m_capacityAnnouncer.nextWake(), m_reservation.nextWake(), m_documents.nextWake() }) {
        if (wake) {
            consider(*wake);
        }
    }
    return earliest;
}

void UpstreamCore::note(UpstreamActions &actions, std::string event, std::string subject, std::string detail, bool isWarning) const
{
    actions.emplace_back(DecisionNote{ std::move(event), std::move(subject), std::move(detail), isWarning });
}

} // namespace lagoonroute
