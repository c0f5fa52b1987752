#include <lagoonroute/direct/directentrycore.h>

#include "directtimes.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Increment of a refused run number, which puts it above those that other entries have used for the task. */
constexpr std::uint32_t runNumberIncrement = 4;
/** Weights of a comparison with the declared run time, which is typically off by 40 %, and with tasks of the same step. */
constexpr double estimateWeight = 0.05;
constexpr double siblingWeight = 0.3;

} // namespace

bool DirectEntryCore::isActive(const Task &task)
{
    return task.phase == TaskPhase::Sent || task.phase == TaskPhase::Stopping || task.phase == TaskPhase::Unconfirmed;
}

/** Returns the task if this is its current run at the agent and the agent is in contact, or null. */
DirectEntryCore::Task *DirectEntryCore::findRun(NodeId agent, const DirectTaskId &id, std::uint32_t run, JobPointer &job)
{
    Task *task = findTask(id, job);
    const bool isCurrent = task != nullptr && task->run == run && task->agent == agent && isActive(*task) && task->phase != TaskPhase::Unconfirmed;
    return isCurrent ? task : nullptr;
}

/** Returns the work of ended runs per microsecond, smoothed. */
double DirectEntryCore::doneWork(Instant now) const
{
    return m_doneWork * std::exp(-static_cast<double>((now - m_doneAt).count()) / static_cast<double>(workRateTime.count()));
}

void DirectEntryCore::taskEnded(NodeId agent, const TaskEnded &end, Instant now, EntryActions &actions)
{
    JobPointer job;
    Task *task = findRun(agent, end.task, end.run, job);
    if (task == nullptr) {
        return;
    }
    m_agentRegistry.runOver(agent);
    const Duration runTime = now - task->sentAt;
    const double work = static_cast<double>(job->job.steps[task->step].need.cpuMillis) * static_cast<double>(task->expected.count());
    m_doneWork = doneWork(now) + (work / static_cast<double>(workRateTime.count()));
    m_doneAt = now;
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    switch (end.end) {
    case RunEnd::Done: {
        const double slowness = m_agentRegistry.slowness(agent);
        m_agentRegistry.recordRunEnd(agent, AttemptResult::Succeeded, runTime, task->expected, now);
        m_estimator.observe(job->route.name, job->job.steps[task->step].estimate, scaled(runTime, 1 / slowness));
        completeTask(job, *task, now, actions);
        return;
    }
    case RunEnd::Failed:
        ++task->failures;
        m_agentRegistry.recordRunEnd(agent, AttemptResult::FailedAtWorker, runTime, task->expected, now);
        note(actions,
             "run-failed",
             job->job.id,
             "task " + std::to_string(end.task.step) + "." + std::to_string(end.task.index) + " run " + std::to_string(end.run) + " at "
                 + (m_agentRegistry.find(agent) != nullptr ? m_agentRegistry.find(agent)->name : std::string()));
        task->excluded.push_back(agent);
        break;
    case RunEnd::Stopped:
    case RunEnd::Lost:
        break;
    }
    if (!job->isClosed && task->failures >= job->route.maxAttempts) {
        --job->active;
        task->phase = TaskPhase::Dropped;
        answer(job, DirectAnswer{ DirectVerdict::Failed, "upstream-error", 0ms }, now, actions);
        return;
    }
    runIsOver(*job, *task);
    eraseIfFinished(job);
}

void DirectEntryCore::completeTask(const JobPointer &job, Task &task, Instant now, EntryActions &actions)
{
    --job->active;
    task.phase = TaskPhase::Done;
    ++job->done;
    if (job->isClosed) {
        eraseIfFinished(job);
        return;
    }
    if (job->done == job->tasks.size()) {
        answer(job, DirectAnswer{ DirectVerdict::Completed, "", 0ms }, now, actions);
        return;
    }
    unblock(*job);
}

void DirectEntryCore::startRefused(NodeId agent, const StartRefused &refusal, Instant now, EntryActions &actions)
{
    JobPointer job;
    Task *task = findRun(agent, refusal.task, refusal.run, job);
    if (task == nullptr) {
        return;
    }
    m_agentRegistry.runOver(agent);
    switch (refusal.reason) {
    case StartRefusal::NoCapacity:
    case StartRefusal::Closed:
        m_agentRegistry.capacityRefused(agent);
        break;
    case StartRefusal::RunTooLow:
        task->run += runNumberIncrement;
        break;
    case StartRefusal::Unhealthy:
    case StartRefusal::Unanswered:
        m_agentRegistry.recordRunEnd(agent, AttemptResult::FailedAtWorker, 0ms, task->expected, now);
        task->excluded.push_back(agent);
        break;
    }
    note(actions, "start-refused", job->job.id, "reason " + std::to_string(static_cast<int>(refusal.reason)));
    runIsOver(*job, *task);
    eraseIfFinished(job);
}

void DirectEntryCore::agentLost(NodeId agent, Instant now, EntryActions &actions)
{
    std::size_t unconfirmed = 0;
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.agent == agent && isActive(task) && task.phase != TaskPhase::Unconfirmed) {
                task.phase = TaskPhase::Unconfirmed;
                ++unconfirmed;
            }
        }
    }
    const AgentRegistry::Agent *known = m_agentRegistry.find(agent);
    const std::string name = known != nullptr ? known->name : std::string();
    if (unconfirmed > 0) {
        m_lostAgents[agent] = Loss{ name, now };
    }
    note(actions, "agent-lost", name, std::to_string(unconfirmed) + " runs unconfirmed", true);
}

/** Handles a run that is over without completing its task: the task waits again, or is dropped if its job is closed. */
void DirectEntryCore::runIsOver(Job &job, Task &task)
{
    --job.active;
    if (job.isClosed) {
        task.phase = TaskPhase::Dropped;
        return;
    }
    requeue(job, task);
}

void DirectEntryCore::agentCleared(NodeId agent)
{
    m_lostAgents.erase(agent);
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.agent == agent && isActive(task)) {
                runIsOver(*job, task);
            }
        }
    }
    eraseFinishedJobs();
}

void DirectEntryCore::takeForecast(NodeId agent, const RunForecast &forecast, Instant now)
{
    JobPointer job;
    Task *task = findRun(agent, forecast.task, forecast.run, job);
    if (task == nullptr || task->phase != TaskPhase::Sent) {
        return;
    }
    task->isStalled = forecast.isStalled;
    if (forecast.isStalled) {
        task->forecastEnd.reset();
        m_agentRegistry.suspend(agent, now);
        return;
    }
    task->forecastEnd = now + forecast.remaining;
    task->forecastTotal = *task->forecastEnd - task->sentAt;
    updateExpectedTimes(*job, *task, now);
}

void DirectEntryCore::updateExpectedTimes(Job &job, const Task &task, Instant now)
{
    // Tasks of one step are alike, so differences between their run times are caused by the upstreams.
    std::vector<Duration> totals;
    for (const Task &other : job.tasks) {
        if (other.step == task.step && other.forecastTotal > 0ms && other.agent != task.agent) {
            totals.push_back(other.forecastTotal);
        }
    }
    if (totals.empty()) {
        const double ratio = static_cast<double>(task.forecastTotal.count()) / static_cast<double>(std::max<Duration::rep>(1, task.expected.count()));
        m_agentRegistry.observeSlowness(task.agent, ratio, estimateWeight, now);
        return;
    }
    const auto middle = totals.begin() + static_cast<std::ptrdiff_t>((totals.size() - 1) / 2);
    std::nth_element(totals.begin(), middle, totals.end());
    const Duration usual = *middle;
    m_agentRegistry.observeSlowness(task.agent, static_cast<double>(task.forecastTotal.count()) / static_cast<double>(usual.count()), siblingWeight, now);
    for (Task &other : job.tasks) {
        if (other.step == task.step) {
            other.expected = usual;
            other.isMeasured = true;
        }
    }
}

Duration DirectEntryCore::restartTime(const Task &task) const
{
    // Declared run times are unreliable. Without tasks of the same step to compare with, a slow run is attributed to the
    // upstream only as far as the upstream is slow with other runs.
    const Duration expected
        = task.isMeasured || task.isStalled ? task.expected : scaled(task.forecastTotal, 1 / std::max(1.0, m_agentRegistry.slowness(task.agent)));
    return expected + m_options.moveCost;
}

bool DirectEntryCore::shouldMove(const Job &job, const Task &task, Instant now) const
{
    if (task.moves >= m_options.maxMoves) {
        return false;
    }
    if (!task.isStalled && !task.forecastEnd) {
        return false;
    }
    const Duration fresh = restartTime(task);
    if (now + fresh >= job.deadline) {
        return false;
    }
    if (task.isStalled) {
        return true;
    }
    return *task.forecastEnd - now > scaled(fresh, m_options.moveFactor);
}

void DirectEntryCore::move(const JobPointer &job, Task &task, Instant now, EntryActions &actions)
{
    PlacementRequest request = placementRequest(*job, task);
    request.excluded.push_back(task.agent);
    if (!m_agentRegistry.choose(request, now)) {
        return;
    }
    const std::string remaining = task.isStalled ? "stands still" : "needs " + std::to_string((*task.forecastEnd - now).count() / 1000) + " ms more";
    note(actions, "run-moved", job->job.id, remaining + " against " + std::to_string(restartTime(task).count() / 1000) + " ms elsewhere");
    ++task.moves;
    task.excluded.push_back(task.agent);
    task.phase = TaskPhase::Stopping;
    actions.emplace_back(SendOnLink{ task.link, StopTask{ { job->job.id, task.step, task.index }, task.run } });
}

void DirectEntryCore::reviewUnconfirmedRuns(Instant now, EntryActions &actions)
{
    std::vector<std::string> jobs;
    std::set<NodeId> agentsWithRuns;
    for (const auto &[id, job] : m_jobs) {
        bool isUnconfirmed = job->active > 0 && job->isClosed;
        for (const Task &task : job->tasks) {
            if (task.phase == TaskPhase::Unconfirmed) {
                isUnconfirmed = true;
                agentsWithRuns.insert(task.agent);
            }
        }
        if (!isUnconfirmed) {
            job->unconfirmedSince.reset();
        } else if (now - job->unconfirmedSince.emplace(job->unconfirmedSince.value_or(now)) >= m_options.unconfirmedNoticeDelay) {
            jobs.push_back(id);
        }
    }
    std::erase_if(m_lostAgents, [&agentsWithRuns](const auto &item) { return agentsWithRuns.count(item.first) == 0; });
    std::vector<LostAgent> agents;
    for (const auto &[node, loss] : m_lostAgents) {
        if (now - loss.at >= m_options.unconfirmedNoticeDelay) {
            agents.push_back(LostAgent{ loss.agent, loss.at.time_since_epoch().count() });
        }
    }
    m_unconfirmedRuns.announce(std::move(jobs), std::move(agents));
    m_unconfirmedRuns.discardOlderThan(m_options.unconfirmedRetention, now);
    sendUnconfirmedRuns(actions);
}

void DirectEntryCore::exchangeUnconfirmedRuns(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions)
{
    if (const auto clearance = m_unconfirmedRuns.receive(link, message, now)) {
        const NodeId agent = NodeId::fromName(clearance->agent);
        const auto lost = m_lostAgents.find(agent);
        if (lost != m_lostAgents.end() && lost->second.at.time_since_epoch().count() == clearance->loss) {
            note(actions, "agent-cleared", clearance->agent, "by way of another entry");
            agentCleared(agent);
        }
    }
    if (std::holds_alternative<UnconfirmedRuns>(message)) {
        m_needsPlacement = true;
        for (const std::string &id : m_unconfirmedRuns.announcedJobs()) {
            const auto job = m_jobs.find(id);
            if (job != m_jobs.end()) {
                job->second->hasStarted = true;
            }
        }
    }
    sendUnconfirmedRuns(actions);
}

void DirectEntryCore::sendUnconfirmedRuns(EntryActions &actions)
{
    for (SendOnLink &message : m_unconfirmedRuns.takeMessages()) {
        actions.emplace_back(std::move(message));
    }
}

void DirectEntryCore::discardUnconfirmedJobs(Instant now, EntryActions &actions)
{
    std::erase_if(m_jobs, [&](const auto &item) {
        const JobPointer &job = item.second;
        const bool isDiscarded = job->isClosed && now - job->closedAt > m_options.unconfirmedRetention;
        if (isDiscarded) {
            note(actions, "unconfirmed-job-discarded", item.first, std::to_string(job->active) + " runs unconfirmed", true);
        }
        return isDiscarded;
    });
}

void DirectEntryCore::reviewRuns(Instant now, EntryActions &actions)
{
    discardUnconfirmedJobs(now, actions);
    for (const auto &[id, job] : m_jobs) {
        if (job->isClosed) {
            continue;
        }
        for (Task &task : job->tasks) {
            if (task.phase == TaskPhase::Sent && shouldMove(*job, task, now)) {
                move(job, task, now, actions);
            }
        }
    }
}

} // namespace lagoonroute
