#include <lagoonroute/direct/directentrycore.h>

#include "directtimes.h"

#include <algorithm>
#include <cmath>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Run number that is certainly above what other entries have used for a task. */
constexpr std::uint32_t runLeap = 4;
/** Weight of a comparison with the declared run time, which is off by 40 % as a rule, and with tasks of the same step. */
constexpr double estimateWeight = 0.05;
constexpr double siblingWeight = 0.3;

} // namespace

bool DirectEntryCore::isActive(const Task &task)
{
    return task.phase == TaskPhase::Sent || task.phase == TaskPhase::Stopping || task.phase == TaskPhase::Unproven;
}

/** Returns the task of a run that the agent may speak of, or null. */
DirectEntryCore::Task *DirectEntryCore::findRun(NodeId agent, const DirectTaskId &id, std::uint32_t run, JobPointer &job)
{
    Task *task = findTask(id, job);
    const bool isCurrent = task != nullptr && task->run == run && task->agent == agent && isActive(*task) && task->phase != TaskPhase::Unproven;
    return isCurrent ? task : nullptr;
}

/** Work of ended runs per microsecond, smoothed. */
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
        m_agentRegistry.learn(agent, AttemptResult::Succeeded, runTime, task->expected, now);
        m_estimator.observe(job->route.name, job->job.steps[task->step].estimate, scaled(runTime, 1 / slowness));
        completeTask(job, *task, now, actions);
        return;
    }
    case RunEnd::Failed:
        ++task->failures;
        m_agentRegistry.learn(agent, AttemptResult::FailedAtWorker, runTime, task->expected, now);
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
    eraseIfOver(job);
}

void DirectEntryCore::completeTask(const JobPointer &job, Task &task, Instant now, EntryActions &actions)
{
    --job->active;
    task.phase = TaskPhase::Done;
    ++job->done;
    if (job->isClosed) {
        eraseIfOver(job);
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
        task->run += runLeap;
        break;
    case StartRefusal::Unhealthy:
    case StartRefusal::Unanswered:
        m_agentRegistry.learn(agent, AttemptResult::FailedAtWorker, 0ms, task->expected, now);
        task->excluded.push_back(agent);
        break;
    }
    note(actions, "start-refused", job->job.id, "reason " + std::to_string(static_cast<int>(refusal.reason)));
    runIsOver(*job, *task);
    eraseIfOver(job);
}

void DirectEntryCore::agentLost(NodeId agent, Instant lastEcho, EntryActions &actions)
{
    std::size_t unproven = 0;
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.agent == agent && isActive(task) && task.phase != TaskPhase::Unproven) {
                task.phase = TaskPhase::Unproven;
                task.provenAt = lastEcho + m_options.proofTime;
                ++unproven;
            }
        }
    }
    const AgentRegistry::Agent *known = m_agentRegistry.find(agent);
    note(actions, "agent-lost", known != nullptr ? known->name : std::string(), std::to_string(unproven) + " runs unproven", true);
}

/** A run is over and its task is not done: the task waits again, or is done with together with its job. */
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
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.agent == agent && isActive(task)) {
                runIsOver(*job, task);
            }
        }
    }
    eraseJobsThatAreOver();
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
    learnFromSiblings(*job, *task, now);
}

void DirectEntryCore::learnFromSiblings(Job &job, const Task &task, Instant now)
{
    // Tasks of one step are alike, so what differs between their run times is the upstreams' doing.
    std::vector<Duration> totals;
    for (const Task &other : job.tasks) {
        if (other.step == task.step && other.forecastTotal > 0ms && other.agent != task.agent) {
            totals.push_back(other.forecastTotal);
        }
    }
    if (totals.empty()) {
        const double ratio = static_cast<double>(task.forecastTotal.count()) / static_cast<double>(std::max<Duration::rep>(1, task.expected.count()));
        m_agentRegistry.compare(task.agent, ratio, estimateWeight, now);
        return;
    }
    const auto middle = totals.begin() + static_cast<std::ptrdiff_t>((totals.size() - 1) / 2);
    std::nth_element(totals.begin(), middle, totals.end());
    const Duration usual = *middle;
    m_agentRegistry.compare(task.agent, static_cast<double>(task.forecastTotal.count()) / static_cast<double>(usual.count()), siblingWeight, now);
    for (Task &other : job.tasks) {
        if (other.step == task.step) {
            other.expected = usual;
            other.isMeasured = true;
        }
    }
}

Duration DirectEntryCore::freshTime(const Task &task) const
{
    // A declared run time says little. Without tasks to compare with, only an upstream that is slow with others is blamed.
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
    const Duration fresh = freshTime(task);
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
    note(actions, "run-moved", job->job.id, remaining + " against " + std::to_string(freshTime(task).count() / 1000) + " ms elsewhere");
    ++task.moves;
    task.excluded.push_back(task.agent);
    task.phase = TaskPhase::Stopping;
    actions.emplace_back(SendOnLink{ task.link, StopTask{ { job->job.id, task.step, task.index }, task.run } });
}

void DirectEntryCore::proveOver(Instant now)
{
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.phase == TaskPhase::Unproven && now >= task.provenAt) {
                runIsOver(*job, task);
            }
        }
    }
    eraseJobsThatAreOver();
}

void DirectEntryCore::reviewRuns(Instant now, EntryActions &actions)
{
    proveOver(now);
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
