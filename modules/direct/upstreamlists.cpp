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

/** Time that an upstream takes to stop a run, with room for its answer. */
constexpr Duration stopTime = 60ms;
/** By which a refused token is raised first, in milliseconds of the time of day; it doubles with each refusal. */
constexpr std::uint64_t firstTokenStep = 1000;
/** Answers to two queries may overtake each other by this much, a query's own time-out. */
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
        break;
    case OrderResult::FenceTooLow:
        m_tokenStep = std::max(m_tokenStep * 2, firstTokenStep);
        m_token += m_tokenStep;
        m_phase = Phase::Fencing;
        elapse(now, actions);
        return;
    case OrderResult::Refused:
        loseUpstream("refuses connections", actions);
        m_nextQueryAt = now + queryRetry;
        elapse(now, actions);
        return;
    case OrderResult::OtherIncarnation:
        // Without an expected life the next query tells which one it is.
        m_hasReport = false;
        m_report.id.clear();
        elapse(now, actions);
        return;
    default:
        if (isNewest && ++m_failedQueries == tolerableFailedQueries + 1) {
            note(actions, "upstream-silent", m_report.id, std::to_string(m_failedQueries) + " looks had no answer", true);
        }
        m_nextQueryAt = m_failedQueries > tolerableFailedQueries ? now + queryRetry : now;
        elapse(now, actions);
        return;
    }
    if (std::exchange(m_failedQueries, 0U) > tolerableFailedQueries) {
        note(actions, "upstream-answers", m_report.id, "");
    }
    if (answer.clock) {
        m_clock = answer.clock;
        m_clockAt = now;
    }
    if (answer.incarnationStart && *answer.incarnationStart != m_incarnationStart) {
        const bool isFirst = m_incarnationStart == 0 && m_runs.empty();
        if (isFirst) {
            m_incarnationStart = *answer.incarnationStart;
            if (m_hasReport && m_report.incarnationStart != 0 && m_report.incarnationStart != m_incarnationStart) {
                m_hasReport = false;
            }
        } else {
            meetLife(*answer.incarnationStart, now, actions);
        }
    }
    m_otherLife.reset();
    useRecalled(now, actions);
    takeEnds(answer, now, actions);
    takeRunning(answer, now, actions);
    if (m_phase == Phase::Fencing) {
        // The upstream takes this token, so no life of the agent has used a higher one.
        ++m_token;
        m_tokenStep = 0;
        m_phase = Phase::Clearing;
    } else if (m_phase == Phase::Unknown) {
        m_phase = Phase::Fencing;
    } else if (m_phase == Phase::Clearing && answer.running.empty()) {
        m_phase = Phase::Serving;
        note(actions, "upstream-serving", m_report.id, "token " + std::to_string(m_token));
    }
    elapse(now, actions);
}

bool UpstreamCore::wasOverLately(const DirectTaskId &task, std::uint32_t run, Instant now) const
{
    return std::any_of(
        m_lately.begin(), m_lately.end(), [&](const OverRun &over) { return over.task == task && over.run == run && now - over.at < staleListTime; });
}

void UpstreamCore::takeEnds(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions)
{
    while (!m_lately.empty() && now - m_lately.front().at >= staleListTime) {
        m_lately.pop_front();
    }
    for (const ListedEnd &end : answer.ended) {
        if (end.number <= m_lastSeenEnd) {
            continue;
        }
        m_lastSeenEnd = end.number;
        m_lately.push_back(OverRun{ end.task, end.run, now });
        const auto run = m_runs.find(end.task);
        if (run != m_runs.end() && run->second.run == end.run) {
            finish(run, end.end, end.checkpoint, actions);
        }
    }
}

void UpstreamCore::takeRunning(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions)
{
    std::map<DirectTaskId, std::uint32_t> listed;
    m_strays = 0;
    for (const ListedRun &row : answer.running) {
        listed[row.task] = row.run;
        const auto run = m_runs.find(row.task);
        if (run == m_runs.end() || run->second.run != row.run) {
            if (wasOverLately(row.task, row.run, now)) {
                continue;
            }
            ++m_strays;
            note(actions, "stray-run", row.task.job, "run " + std::to_string(row.run) + " is not known here and is stopped", true);
            actions.emplace_back(OrderStop{ header(), row.task, row.run });
            querySoon(now, stopTime);
            continue;
        }
        if (run->second.phase == RunPhase::Starting || run->second.phase == RunPhase::Doubtful) {
            run->second.neverConfirmed = false;
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
        if (isListed || answer.query <= current->second.phaseQuery) {
            continue;
        }
        if (current->second.phase == RunPhase::Doubtful) {
            requestStop(current->first, current->second, now, actions);
        } else if (current->second.phase == RunPhase::Confirmed) {
            if (current->second.neverConfirmed) {
                finishUnstarted(current, StartRefusal::Unanswered, actions);
            } else {
                finish(current, RunEnd::Stopped, "", actions);
            }
        } else if (current->second.phase == RunPhase::Running) {
            finish(current, RunEnd::Lost, "", actions);
        }
    }
}

bool UpstreamCore::queriesWait() const
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
    OrderStatusQuery order{ header(), slot, m_lastSeenEnd, std::nullopt, wait };
    if (!m_runs.empty() && m_phase == Phase::Serving) {
        order.leaseEnd = leaseEndAt(now);
        extendLease(now);
    }
    actions.emplace_back(std::move(order));
}

/** Something runs from now on: a query that waits long is replaced by shorter ones; its answer is still taken. */
void UpstreamCore::leaveIdleQuery(Instant now)
{
    if (m_waitingQuery != 0 && std::exchange(m_isIdleQuery, false)) {
        m_waitingQuery = 0;
        m_nextQueryAt = now;
    }
}

void UpstreamCore::querySoon(Instant now, Duration delay)
{
    const Instant due = now + delay;
    if (!m_extraQueryAt || due < *m_extraQueryAt) {
        m_extraQueryAt = due;
    }
}

/** An order with a lease end leaves now. */
void UpstreamCore::extendLease(Instant now)
{
    const auto leaseTime = std::chrono::duration_cast<Duration>(m_options.lease * slowestClock);
    m_leaseUntil = std::max(m_leaseUntil, now + leaseTime + leaseMargin);
}

void UpstreamCore::keepLease(Instant now, UpstreamActions &actions)
{
    const bool isDue = m_extraQueryAt && now >= *m_extraQueryAt;
    const bool isLow = !m_runs.empty() && m_phase == Phase::Serving && m_leaseUntil - now < m_options.lease / 2;
    if ((isDue || isLow) && m_renewingQuery == 0 && now >= m_nextQueryAt) {
        m_extraQueryAt.reset();
        queryStatus(now, 0ms, actions);
    }
}

} // namespace lagoonroute
