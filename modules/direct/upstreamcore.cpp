#include <lagoonroute/direct/upstreamcore.h>

#include "upstreamtimes.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UpstreamCore::Options UpstreamCore::Options::withNode(std::string name, std::string availabilityZone, Incarnation life) const
{
    Options changed = *this;
    changed.node = std::move(name);
    changed.zone = std::move(availabilityZone);
    changed.incarnation = life;
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

UpstreamCore::Options UpstreamCore::Options::withOfferLifetime(Duration time) const
{
    Options changed = *this;
    changed.offerLifetime = time;
    return changed;
}

UpstreamCore::UpstreamCore(Options options)
    : m_options(std::move(options))
    , m_phase(Phase::Fencing)
    , m_token(m_options.firstToken)
    , m_documents(DocumentExchange::Options().withPatience(0ms))
{
}

void UpstreamCore::handle(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    const bool isSameIncarnation = report.id == m_report.id && report.incarnationStart == m_report.incarnationStart;
    if (isSameIncarnation && (report.sequence <= m_report.sequence || report.service != m_report.service)) {
        return;
    }
    if (m_incarnationStart != 0 && report.incarnationStart != 0 && report.incarnationStart != m_incarnationStart) {
        // Either a new life, or a late report of an old one: the upstream's own list tells.
        m_otherLife = report;
        querySoon(now, 0ms);
        elapse(now, actions);
        return;
    }
    adopt(report, now, actions);
    elapse(now, actions);
}

void UpstreamCore::adopt(const UpstreamReport &report, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || report.id != m_report.id || report.incarnationStart != m_report.incarnationStart || report.isDraining != m_report.isDraining) {
        note(actions, "upstream-report", report.id, report.isDraining ? "draining" : "ready");
    }
    m_report = report;
    keep(report, actions);
    m_hasReport = true;
    m_reportedAt = now;
    if (m_phase == Phase::Unknown) {
        beginFencing(now, actions);
    }
}

/** Gives a report out for the next life of the agent. */
void UpstreamCore::keep(const UpstreamReport &report, UpstreamActions &actions)
{
    UpstreamReport kept = report;
    kept.sequence = 0; // a next life takes every report that follows
    if (report.incarnationStart != 0 && kept != m_kept) {
        m_kept = kept;
        actions.emplace_back(PersistReport{ kept });
    }
}

void UpstreamCore::recall(const UpstreamReport &kept, Instant now, UpstreamActions &actions)
{
    m_recalled = kept;
    useRecalled(now, actions);
    elapse(now, actions);
}

void UpstreamCore::useRecalled(Instant now, UpstreamActions &actions)
{
    if (!m_recalled || m_incarnationStart == 0) {
        return;
    }
    const UpstreamReport kept = *std::exchange(m_recalled, std::nullopt);
    const bool hasLeft = m_report.incarnationStart == kept.incarnationStart; // or has gone quiet since
    if (!m_hasReport && !hasLeft && kept.incarnationStart == m_incarnationStart) {
        m_kept = kept;
        adopt(kept, now, actions);
    }
}

void UpstreamCore::handle(const UpstreamLeft &left, Instant now, UpstreamActions &actions)
{
    if (!m_hasReport || left.id != m_report.id) {
        return;
    }
    // The notice names no life: it may be an earlier one's that was held up. So nothing is started until a newer report
    // comes, and what runs goes on until the upstream's own list, or the lack of one, shows that it is over.
    note(actions, "upstream-left", m_report.id, std::to_string(m_runs.size()) + " runs listed last", true);
    m_hasReport = false;
    UpstreamReport last = m_report;
    last.isDraining = true;
    keep(last, actions);
    querySoon(now, 0ms);
    elapse(now, actions);
}

void UpstreamCore::beginFencing(Instant now, UpstreamActions &actions)
{
    m_phase = Phase::Fencing;
    m_strays = 0;
    queryStatus(now, 0ms, actions);
}

void UpstreamCore::meetLife(std::int64_t incarnationStart, Instant now, UpstreamActions &actions)
{
    if (m_otherLife && m_otherLife->incarnationStart == incarnationStart) {
        const UpstreamReport report = *std::exchange(m_otherLife, std::nullopt);
        m_incarnationStart = incarnationStart;
        adopt(report, now, actions);
    }
    m_otherLife.reset();
    m_incarnationStart = incarnationStart;
    if (m_hasReport && m_report.incarnationStart != 0 && m_report.incarnationStart != incarnationStart) {
        m_hasReport = false;
    }
    note(actions, "upstream-life", m_report.id, "born " + std::to_string(incarnationStart));
    // Orders that the earlier life never carried out may still reach this one; a higher token shuts them out.
    m_token = std::max(m_token + 1, static_cast<std::uint64_t>(std::max<std::int64_t>(0, incarnationStart)));
    m_lastSeenEnd = 0;
    m_strays = 0;
    // What the earlier life was running is gone; an order that it never answered may still reach this one.
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        if (current->second.neverConfirmed) {
            current->second.phase = RunPhase::Stopping;
            current->second.retryStopAt = now;
        } else {
            finish(current, RunEnd::Lost, "", actions);
        }
    }
    m_phase = Phase::Fencing;
}

void UpstreamCore::stalled(Instant now, UpstreamActions &actions)
{
    note(actions, "stalled", m_options.node, "all links are dropped", true);
    while (!m_links.empty()) {
        dropLink(m_links.begin()->first, "this process stood still", now, actions);
    }
}

void UpstreamCore::beginStop(Instant now, UpstreamActions &actions)
{
    if (!std::exchange(m_isStopping, true)) {
        note(actions, "stop-begun", m_options.node, std::to_string(m_runs.size()) + " runs left");
    }
    elapse(now, actions);
}

void UpstreamCore::loseUpstream(const std::string &reason, UpstreamActions &actions)
{
    if (m_hasReport || !m_runs.empty()) {
        note(actions, "upstream-lost", m_report.id, reason + ", " + std::to_string(m_runs.size()) + " runs lost", true);
    }
    loseAllRuns(actions);
    m_hasReport = false;
    m_phase = Phase::Unknown;
    m_strays = 0;
}

bool UpstreamCore::isOpen() const
{
    return m_phase == Phase::Serving && m_hasReport && !m_report.isDraining && !m_isStopping && m_failedQueries <= tolerableFailedQueries;
}

Resources UpstreamCore::freeCapacity() const
{
    // The size of a stray run is not known, so nothing fits beside it.
    if (!isOpen() || m_strays > 0) {
        return {};
    }
    return m_report.capacity - m_used;
}

std::size_t UpstreamCore::entries() const
{
    return static_cast<std::size_t>(std::count_if(m_links.begin(), m_links.end(), [](const auto &item) { return item.second.greeted; }));
}

std::optional<std::int64_t> UpstreamCore::leaseEndAt(Instant now) const
{
    if (!m_clock) {
        return std::nullopt;
    }
    return *m_clock + milliseconds(now - m_clockAt) + milliseconds(m_options.lease);
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

void UpstreamCore::elapse(Instant now, UpstreamActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextQueryAt = now;
    }
    if (m_hasReport && now - m_reportedAt > m_options.offerLifetime) {
        note(actions, "upstream-quiet", m_report.id, "no report for too long", true);
        m_hasReport = false;
    }
    for (auto link = m_links.begin(); link != m_links.end();) {
        const auto current = link++;
        if (now > current->second.contactUntil) {
            dropLink(current->first, "no echo", now, actions);
            return; // dropLink() has done the rest
        }
    }
    recheckRuns(now, actions);
    if (now >= m_nextQueryAt) {
        queryStatus(now, !queriesWait() ? Duration(0) : (m_runs.empty() ? m_options.idleQueryWait : m_options.busyQueryWait), actions);
    }
    keepLease(now, actions);
    beat(now, actions);
    greet(now, actions);
    sayOffer(actions);
    sayRoom(now, actions);
    spreadDocument(now, actions);
}

/** Beats on all links at once, so that they share a wake-up. */
void UpstreamCore::beat(Instant now, UpstreamActions &actions)
{
    if (now < m_beatAt + m_options.beatInterval) {
        return;
    }
    m_beatAt = now;
    for (const auto &[id, link] : m_links) {
        if (link.greeted) {
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
    if ((queriesWait() ? m_waitingQuery : m_renewingQuery) == 0) {
        consider(m_nextQueryAt);
    }
    if (m_extraQueryAt && m_renewingQuery == 0) {
        consider(std::max(*m_extraQueryAt, m_nextQueryAt));
    }
    if (!m_runs.empty()) {
        consider(m_leaseUntil + Duration(1));
        if (m_phase == Phase::Serving && m_renewingQuery == 0) {
            consider(std::max(m_leaseUntil - (m_options.lease / 2) + Duration(1), m_nextQueryAt));
        }
    }
    for (const auto &[task, run] : m_runs) {
        if (run.phase == RunPhase::Stopping) {
            consider(run.retryStopAt);
        }
    }
    for (const auto &[id, link] : m_links) {
        consider(link.contactUntil + Duration(1));
        if (link.greeted) {
            consider(m_beatAt + m_options.beatInterval);
        }
    }
    if (m_hasReport) {
        consider(m_reportedAt + m_options.offerLifetime + Duration(1));
    }
    for (const auto &wake : { m_capacityAnnouncer.nextWake(), m_documents.nextWake() }) {
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
