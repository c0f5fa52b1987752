#include <lagoonroute/direct/upstreamcore.h>

#include "upstreamtimes.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Time that an upstream takes to stop a run, including its answer. */
constexpr Duration stopTime = 60ms;
/** First increment of a refused token, in milliseconds of the time of day; it doubles with each refusal. */
constexpr std::uint64_t firstTokenStep = 1000;
/** Answers to two queries may overtake each other by at most this much, the timeout of a query. */
constexpr Duration staleListTime = 300ms;

} // namespace

void UpstreamCore::handle(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions)
{
    const bool isNewest = answer.query >= std::max(m_waitingQuery, m_renewingQuery) || answer.result == OrderResult::Accepted;
    if (answer.query == m_waitingQuery) {
        m_waitingQuery = 0;
    }
    if (answer.query == m_renewingQuery) {
        m_renewingQuery = 0;
    }
    m_nextQueryAt = now;
    switch (answer.result) {
    case OrderResult::Accepted:
        if (m_doubtedQuery && answer.query > *m_doubtedQuery) {
            m_doubtedQuery.reset();
        }
        break;
    case OrderResult::FenceTooLow:
        m_tokenStep = std::max(m_tokenStep * 2, firstTokenStep);
        m_token += m_tokenStep;
        enterPhase(Phase::Fencing);
        handleTimers(now, actions);
        return;
    case OrderResult::Refused:
        connectionRefused(now, actions);
        handleTimers(now, actions);
        return;
    case OrderResult::OtherIncarnation:
        // The next query names no upstream, so that any incarnation answers it.
        m_hasReport = false;
        m_report.id.clear();
        handleTimers(now, actions);
        return;
    default:
        doubtIncarnation();
        if (isNewest && ++m_failedQueries == tolerableFailedQueries + 1) {
            note(actions, "upstream-silent", m_report.id, std::to_string(m_failedQueries) + " status queries without an answer", true);
        }
        m_nextQueryAt = isUnresponsive() ? now + queryRetry : now;
        handleTimers(now, actions);
        return;
    }
    const bool wasUnresponsive = isUnresponsive();
    m_failedQueries = 0;
    if (wasUnresponsive) {
        note(actions, "upstream-answers", m_report.id, "");
    }
    if (answer.clock) {
        m_lease.setClock(*answer.clock, m_hostClock.at(now));
    }
    if (answer.incarnationStart && *answer.incarnationStart != m_incarnationStart) {
        const bool isFirst = m_incarnationStart == 0 && m_runs.empty();
        if (isFirst) {
            m_incarnationStart = *answer.incarnationStart;
            if (m_hasReport && m_report.incarnationStart != 0 && m_report.incarnationStart != m_incarnationStart) {
                m_hasReport = false;
            }
        } else {
            changeIncarnation(*answer.incarnationStart, now, actions);
            m_lease.beginIncarnation(m_hostClock.at(now));
        }
    }
    m_otherIncarnation.reset();
    applyRestoredReport(now, actions);
    processListedEnds(answer, now, actions);
    processListedRuns(answer, now, actions);
    if (answer.query > m_phaseQuery && (answer.isComplete || haveEarlierLeasesEnded(now))) {
        advancePhase(now, actions);
    }
    handleTimers(now, actions);
}

void UpstreamCore::enterPhase(Phase phase)
{
    m_phase = phase;
    m_phaseQuery = m_lastQuery;
}

void UpstreamCore::advancePhase(Instant now, UpstreamActions &actions)
{
    if (m_phase == Phase::Fencing) {
        // The upstream accepts this token, so no incarnation of the agent has used a higher one.
        ++m_token;
        m_tokenStep = 0;
        enterPhase(Phase::Clearing);
        m_lease.assumeLongest(m_hostClock.at(now)); // until now, orders for an earlier incarnation may have been carried out
    } else if (m_phase == Phase::Clearing && m_unexpectedRuns == 0) {
        enterPhase(Phase::Serving);
        note(actions, "upstream-serving", m_report.id, "token " + std::to_string(m_token));
    }
}

bool UpstreamCore::hasEndedRecently(const DirectTaskId &task, std::uint32_t run, Instant now) const
{
    return std::any_of(m_recentlyEnded.begin(), m_recentlyEnded.end(), [&](const EndedRun &over) {
        return over.task == task && over.run == run && now - over.at < staleListTime;
    });
}

void UpstreamCore::processListedEnds(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions)
{
    while (!m_recentlyEnded.empty() && now - m_recentlyEnded.front().at >= staleListTime) {
        m_recentlyEnded.pop_front();
    }
    for (const ListedEnd &end : answer.ended) {
        if (end.number <= m_lastSeenEnd) {
            continue;
        }
        m_lastSeenEnd = end.number;
        m_recentlyEnded.push_back(EndedRun{ end.task, end.run, now });
        const auto run = m_runs.find(end.task);
        if (run != m_runs.end() && run->second.run == end.run) {
            finish(run, end.end, end.checkpoint, actions);
        }
    }
}

void UpstreamCore::processListedRuns(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions)
{
    std::map<DirectTaskId, std::uint32_t> listed;
    m_unexpectedRuns = 0;
    for (const ListedRun &row : answer.running) {
        listed[row.task] = row.run;
        const auto run = m_runs.find(row.task);
        if (run == m_runs.end() || run->second.run != row.run) {
            if (hasEndedRecently(row.task, row.run, now)) {
                continue;
            }
            ++m_unexpectedRuns;
            note(actions, "stray-run", row.task.job, "run " + std::to_string(row.run) + " was not started by this agent and is stopped", true);
            actions.emplace_back(OrderStop{ header(), row.task, row.run });
            scheduleQuery(now, stopTime);
            continue;
        }
        run->second.incarnation = m_incarnationStart;
        if (run->second.phase == RunPhase::Starting || run->second.phase == RunPhase::StartUnanswered) {
            run->second.startUnconfirmed = false;
            run->second.phase = RunPhase::Running;
            run->second.phaseQuery = m_lastQuery;
            if (run->second.stopRequested) {
                requestStop(row.task, run->second, now, actions);
            }
        }
        if (run->second.phase == RunPhase::Running) {
            if (const auto forecast = run->second.progress.observe(row.percent, now)) {
                actions.emplace_back(SendOnLink{ run->second.link, RunForecast{ row.task, row.run, forecast->remaining, forecast->isStalled } });
            }
        }
    }
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        const auto row = listed.find(current->first);
        const bool isListed = row != listed.end() && row->second == current->second.run;
        if (isListed || !answer.isComplete || answer.query <= current->second.phaseQuery) {
            continue;
        }
        if (current->second.phase == RunPhase::StartUnanswered) {
            requestStop(current->first, current->second, now, actions);
        } else if (current->second.phase == RunPhase::StopAccepted) {
            if (current->second.startUnconfirmed) {
                finishUnstarted(current, StartRefusal::Unanswered, actions);
            } else {
                finish(current, RunEnd::Stopped, "", actions);
            }
        } else if (current->second.phase == RunPhase::Running) {
            const bool isOfEarlierIncarnation = current->second.incarnation != 0 && current->second.incarnation != m_incarnationStart;
            loseRun(current, isOfEarlierIncarnation ? LossEvidence::NewIncarnation : LossEvidence::NotListed, actions);
        }
    }
}

bool UpstreamCore::usesLongPolling() const
{
    return m_phase == Phase::Serving && m_failedQueries == 0;
}

void UpstreamCore::queryStatus(Instant now, Duration wait, UpstreamActions &actions)
{
    std::uint64_t &slot = wait > 0ms ? m_waitingQuery : m_renewingQuery;
    if (slot != 0) {
        return;
    }
    slot = ++m_lastQuery;
    if (wait > 0ms) {
        m_isIdleQuery = m_runs.empty();
    }
    // A new incarnation numbers its ends anew, so an acknowledgement that is meant for the earlier one would discard them unseen.
    OrderStatusQuery order{ header(), slot, m_doubtedQuery ? 0 : m_lastSeenEnd, std::nullopt, wait };
    // While the upstream is unresponsive, a renewal would only postpone the time at which its runs are known to be over.
    if (!m_runs.empty() && !isUnresponsive() && !hasOrphans(now)) {
        order.leaseEnd = m_lease.endAt(m_hostClock.at(now));
    }
    if (order.leaseEnd) {
        leaseRenewed(now);
    }
    actions.emplace_back(std::move(order));
}

/** Replaces a long-polling query of the idle state by shorter ones, because a run begins; its answer is still processed. */
void UpstreamCore::replaceIdleQuery(Instant now)
{
    if (m_waitingQuery != 0 && std::exchange(m_isIdleQuery, false)) {
        m_waitingQuery = 0;
        m_nextQueryAt = now;
        doubtIncarnation(); // the idle upstream has not answered for up to a second
    }
}

void UpstreamCore::doubtIncarnation()
{
    m_doubtedQuery = m_lastQuery;
}

void UpstreamCore::scheduleQuery(Instant now, Duration delay)
{
    const Instant due = now + delay;
    if (!m_extraQueryAt || due < *m_extraQueryAt) {
        m_extraQueryAt = due;
    }
}

Instant UpstreamCore::leaseEndOf(const Run &run) const
{
    return m_lease.endOfRun(run.incarnation != 0);
}

bool UpstreamCore::isOrphan(const Run &run, Instant now) const
{
    const auto link = m_links.find(run.link);
    return link == m_links.end() || now > link->second.contactUntil;
}

bool UpstreamCore::hasOrphans(Instant now) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const auto &item) { return isOrphan(item.second, now); });
}

void UpstreamCore::leaseRenewed(Instant now)
{
    m_lease.renew(m_hostClock.at(now));
    m_leaseRenewedAt = now;
}

Instant UpstreamCore::nextRenewal() const
{
    return m_leaseRenewedAt + m_lease.renewalInterval();
}

void UpstreamCore::renewLease(Instant now, UpstreamActions &actions)
{
    const bool isDue = m_extraQueryAt && now >= *m_extraQueryAt;
    const bool isLow = !m_runs.empty() && now >= nextRenewal() && !hasOrphans(now);
    if ((isDue || isLow) && m_renewingQuery == 0 && now >= m_nextQueryAt) {
        m_extraQueryAt.reset();
        queryStatus(now, 0ms, actions);
    }
}

} // namespace lagoonroute
