#include <lagoonroute/direct/upstreamcore.h>

#include "upstreamtimes.h"

#include <algorithm>
#include <chrono>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Delay before a stop order without an answer is sent again. */
constexpr Duration stopRetry = 10ms;

} // namespace

void UpstreamCore::handle(const StartAnswered &answer, Instant now, UpstreamActions &actions)
{
    const auto found = m_runs.find(answer.task);
    if (found == m_runs.end() || found->second.run != answer.run) {
        return;
    }
    Run &run = found->second;
    switch (answer.result) {
    case OrderResult::Accepted:
        run.startUnconfirmed = false;
        if (run.phase == RunPhase::Starting || run.phase == RunPhase::StartUnanswered) {
            run.phase = RunPhase::Running;
            run.phaseQuery = m_lastQuery;
            if (run.stopRequested) {
                requestStop(answer.task, run, now, actions);
            }
        }
        break;
    case OrderResult::NoAnswer:
        doubtIncarnation();
        if (run.phase == RunPhase::Starting) {
            note(actions, "start-unanswered", answer.task.job, "run " + std::to_string(answer.run), true);
            run.phase = RunPhase::StartUnanswered;
            run.phaseQuery = m_lastQuery;
            run.phaseBeganAt = now;
            scheduleQuery(now, 0ms);
        }
        break;
    case OrderResult::RunTooLow:
        finishUnstarted(found, run.stopRequested ? StartRefusal::Unanswered : StartRefusal::RunTooLow, actions);
        break;
    case OrderResult::NoCapacity:
        note(actions, "account-differs", answer.task.job, "the upstream lacks capacity for a start that fits this agent's account", true);
        finishUnstarted(found, StartRefusal::NoCapacity, actions);
        break;
    case OrderResult::Unhealthy:
        finishUnstarted(found, StartRefusal::Unhealthy, actions);
        break;
    case OrderResult::Invalid:
        finish(found, RunEnd::Failed, "", actions);
        break;
    case OrderResult::FenceTooLow:
    case OrderResult::OtherIncarnation:
        finishUnstarted(found, StartRefusal::Closed, actions);
        beginFencing(now, actions);
        break;
    case OrderResult::TooLate:
        finishUnstarted(found, StartRefusal::Closed, actions);
        break;
    case OrderResult::Refused:
        finishUnstarted(found, StartRefusal::Closed, actions); // nothing was sent
        connectionRefused(now, actions);
        break;
    }
    handleTimers(now, actions);
}

void UpstreamCore::handle(const StopAnswered &answer, Instant now, UpstreamActions &actions)
{
    const auto found = m_runs.find(answer.task);
    if (found == m_runs.end() || found->second.run != answer.run || found->second.phase != RunPhase::Stopping) {
        return;
    }
    Run &run = found->second;
    if (answer.result == OrderResult::Refused) {
        connectionRefused(now, actions);
        run.retryStopAt = now + queryRetry;
    } else if (answer.result == OrderResult::Accepted || answer.result == OrderResult::RunTooLow) {
        run.phase = RunPhase::StopAccepted;
        run.phaseQuery = m_lastQuery;
        run.phaseBeganAt = now;
        // A run that never started is over at once; one that is being stopped stays in the list until it has ended.
        scheduleQuery(now, 0ms);
    } else {
        if (answer.result == OrderResult::FenceTooLow) {
            beginFencing(now, actions);
        } else if (answer.result == OrderResult::NoAnswer) {
            doubtIncarnation();
        }
        run.retryStopAt = now + stopRetry;
    }
    handleTimers(now, actions);
}

std::optional<StartRefusal> UpstreamCore::refusalOf(const DirectTaskId &task, const Resources &need, const Link &link, Instant now) const
{
    if (!isOpen() || !link.helloSent || now > link.contactUntil || !m_lease.endAt(m_hostClock.at(now))) {
        return StartRefusal::Closed;
    }
    // The start must not prolong the lease of a run whose entry counts on its end.
    if (hasOrphans(now) && !m_lease.sentEnd()) {
        return StartRefusal::Closed;
    }
    if (m_runs.count(task) != 0 || !need.fitsInto(freeCapacity())) {
        return StartRefusal::NoCapacity;
    }
    return std::nullopt;
}

void UpstreamCore::startRun(LinkId linkId, Link &link, const StartTasks &order, const TaskStart &task, Instant now, UpstreamActions &actions)
{
    ++link.startsHandled;
    m_capacityAnnouncer.startHandled(linkId, task.need);
    m_reservation.startHandled(linkId, task.need, now);
    const DirectTaskId id{ order.job, task.step, task.index };
    if (const auto reason = refusalOf(id, task.need, link, now)) {
        refuse(linkId, id, task.run, *reason, actions);
        return;
    }
    Run &run = m_runs[id];
    run = Run{ .link = linkId, .entry = link.entry, .run = task.run, .phase = RunPhase::Starting, .need = task.need, .phaseBeganAt = now };
    run.phaseQuery = m_lastQuery;
    run.progress = RunProgress(now);
    if (order.expectedRunTime > 0ms) {
        run.declaredEnd = now + order.expectedRunTime;
    }
    m_used = m_used + task.need;
    replaceIdleQuery(now);
    if (!hasOrphans(now)) {
        leaseRenewed(now);
    }
    actions.emplace_back(OrderStart{ header(), id, task.run, order.spec, task.checkpoint, *m_lease.sentEnd() });
}

void UpstreamCore::refuse(LinkId link, const DirectTaskId &task, std::uint32_t run, StartRefusal reason, UpstreamActions &actions)
{
    actions.emplace_back(SendOnLink{ link, StartRefused{ task, run, reason } });
}

void UpstreamCore::requestStop(const DirectTaskId &task, Run &run, Instant now, UpstreamActions &actions)
{
    run.stopRequested = true;
    if (run.phase == RunPhase::Stopping || run.phase == RunPhase::StopAccepted) {
        return;
    }
    run.phase = RunPhase::Stopping;
    run.phaseBeganAt = now;
    run.retryStopAt = now + (m_options.orderTimeout * 2);
    actions.emplace_back(OrderStop{ header(), task, run.run });
}

void UpstreamCore::finish(std::map<DirectTaskId, Run>::iterator run, RunEnd end, const std::string &checkpoint, UpstreamActions &actions)
{
    if (m_links.count(run->second.link) != 0) {
        actions.emplace_back(SendOnLink{ run->second.link, TaskEnded{ run->first, run->second.run, end, checkpoint } });
    }
    m_used = m_used - run->second.need;
    m_runs.erase(run);
}

void UpstreamCore::finishUnstarted(std::map<DirectTaskId, Run>::iterator run, StartRefusal reason, UpstreamActions &actions)
{
    if (m_links.count(run->second.link) != 0) {
        refuse(run->second.link, run->first, run->second.run, reason, actions);
    }
    m_used = m_used - run->second.need;
    m_runs.erase(run);
}

void UpstreamCore::loseRun(std::map<DirectTaskId, Run>::iterator run, LossEvidence evidence, UpstreamActions &actions)
{
    ++m_lostRuns[static_cast<std::size_t>(evidence)];
    const DirectTaskId &task = run->first;
    note(actions,
         "run-lost",
         task.job,
         "task " + std::to_string(task.step) + "." + std::to_string(task.index) + " run " + std::to_string(run->second.run) + ", "
             + std::string(lossEvidenceName(evidence)) + " of " + m_report.id + " born " + std::to_string(m_incarnationStart),
         true);
    finish(run, RunEnd::Lost, "", actions);
}

void UpstreamCore::recheckRuns(Instant now, UpstreamActions &actions)
{
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        const auto current = run++;
        if (m_hostClock.at(now) > leaseEndOf(current->second)) {
            if (current->second.startUnconfirmed) {
                ++m_token; // rules out the start, which may still be on its way
            }
            loseRun(current, LossEvidence::LeaseEnded, actions);
        }
    }
    for (auto &[task, run] : m_runs) {
        if (run.phase == RunPhase::Stopping && now >= run.retryStopAt) {
            run.retryStopAt = now + (m_options.orderTimeout * 2);
            actions.emplace_back(OrderStop{ header(), task, run.run });
        }
    }
}

} // namespace lagoonroute
