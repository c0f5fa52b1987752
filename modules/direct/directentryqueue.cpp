#include <lagoonroute/direct/directentrycore.h>

#include "directtimes.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Part of its share of the upstreams' processors that an entry expects to use before it has measured a higher rate. */
constexpr double expectedUse = 0.85;

} // namespace

PlacementRequest DirectEntryCore::placementRequest(const Job &job, const Task &task) const
{
    const DirectStep &step = job.job.steps[task.step];
    PlacementRequest request{ job.route.service, step.need, step.requiredLabel, step.preferredLabel, task.excluded };
    if (step.maxPerUpstream == 0) {
        return request;
    }
    std::map<NodeId, std::uint32_t> taken;
    for (const Task &other : job.tasks) {
        if (other.step == task.step && isActive(other) && ++taken[other.agent] == step.maxPerUpstream) {
            request.excluded.push_back(other.agent);
        }
    }
    return request;
}

std::vector<DirectEntryCore::JobPointer> DirectEntryCore::queue(Instant now)
{
    struct QueueEntry
    {
        std::uint32_t priority;
        bool isLate;
        Instant key;
        JobPointer job;
    };
    std::vector<QueueEntry> entries;
    for (const auto &[id, job] : m_jobs) {
        if (job->waiting > 0 && !m_unconfirmedRuns.isAnnounced(id)) {
            // A job that has started goes first: its other tasks occupy capacity already.
            const bool isLate = !job->hasStarted && now + job->chain > job->objective;
            entries.push_back(QueueEntry{ job->route.priority, isLate, job->hasStarted ? job->arrived - largestHeadStart : job->sortKey, job });
        }
    }
    std::sort(entries.begin(), entries.end(), [](const QueueEntry &left, const QueueEntry &right) {
        return std::tie(left.priority, left.isLate, left.key) < std::tie(right.priority, right.isLate, right.key);
    });
    std::vector<JobPointer> ordered;
    ordered.reserve(entries.size());
    for (QueueEntry &entry : entries) {
        ordered.push_back(std::move(entry.job));
    }
    return ordered;
}

bool DirectEntryCore::placeTasks(const JobPointer &job, Instant now)
{
    if (areDrainsAwaited(now)) {
        return false;
    }
    for (Task &task : job->tasks) {
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        PlacementRequest request = placementRequest(*job, task);
        auto chosen = m_agentRegistry.choose(request, now);
        if (!chosen && !task.excluded.empty()) {
            // When every open agent is excluded, the same upstream is tried again rather than none.
            const bool isAllExcluded = task.excluded.size() >= m_agentRegistry.openAgents();
            if (isAllExcluded) {
                task.excluded.clear();
                chosen = m_agentRegistry.choose(placementRequest(*job, task), now);
            }
        }
        if (!chosen) {
            return false;
        }
        const AgentRegistry::Agent &agent = *m_agentRegistry.find(*chosen);
        ++task.run;
        task.phase = TaskPhase::Sent;
        task.agent = *chosen;
        task.link = agent.link;
        task.sentAt = now;
        --job->waiting;
        ++job->active;
        job->work -= task.work;
        m_backlogs[job->route.priority].started += task.work;
        job->hasStarted = true;
        m_agentRegistry.startSent(*chosen, request.need);
        m_reservationPlan.startSent(*chosen, request.need);
        auto pending = std::find_if(m_pendingStarts.begin(), m_pendingStarts.end(), [&](const PendingStart &other) {
            return other.link == agent.link && other.start.job == job->job.id;
        });
        if (pending == m_pendingStarts.end()) {
            m_pendingStarts.push_back(PendingStart{ agent.link, StartTasks{ job->job.id, job->job.spec, {} } });
            pending = m_pendingStarts.end() - 1;
        }
        if (m_options.capacityReservations && (agent.features & capacityReservationFeature) != 0) {
            pending->start.expectedRunTime = std::max(pending->start.expectedRunTime, scaled(task.expected, agent.slowness));
        }
        pending->start.tasks.push_back(TaskStart{ task.step, task.index, task.run, request.need, task.checkpoint });
    }
    return true;
}

void DirectEntryCore::flushStarts(EntryActions &actions)
{
    for (PendingStart &pending : std::exchange(m_pendingStarts, {})) {
        actions.emplace_back(SendOnLink{ pending.link, std::move(pending.start) });
    }
}

double DirectEntryCore::workRate(const std::string &service, Instant now) const
{
    const double capacity = static_cast<double>(m_agentRegistry.openCapacity(service));
    const double share = expectedUse * capacity / static_cast<double>(m_peers + 1);
    return std::clamp(doneWork(now), share, std::max(share, capacity));
}

const DirectStep &DirectEntryCore::nextStep(const Job &job)
{
    return job.job.steps[nextTask(job).step];
}

void DirectEntryCore::addDemand(std::vector<CapacityDemand> &demands, const Job &job) const
{
    const DirectStep &step = nextStep(job);
    const Duration expected = m_options.capacityReservations ? nextTask(job).expected : Duration(0);
    const auto same = std::find_if(demands.begin(), demands.end(), [&](const CapacityDemand &demand) {
        return demand.service == job.route.service && demand.requiredLabel == step.requiredLabel;
    });
    if (same == demands.end()) {
        demands.push_back(CapacityDemand{ job.route.service, step.requiredLabel, job.route.priority, step.need, job.waiting, expected });
        return;
    }
    same->tasks += job.waiting;
    if (step.need.fitsInto(same->need)) {
        same->need = step.need;
        same->expectedRunTime = expected;
    }
}

void DirectEntryCore::placeWaitingJobs(Instant now, EntryActions &actions)
{
    m_needsPlacement = false;
    std::vector<JobPointer> ordered = queue(now);
    promoteReserved(ordered, now);
    JobPointer reserving; // first in order of those that have waited long
    std::optional<std::uint32_t> blockedPriority;
    std::vector<CapacityDemand> demands;
    const auto isTooLarge = [&demands](const Job &job) {
        const DirectStep &step = nextStep(job);
        return std::any_of(demands.begin(), demands.end(), [&](const CapacityDemand &demand) {
            return demand.service == job.route.service && demand.requiredLabel == step.requiredLabel && demand.need.fitsInto(step.need);
        });
    };
    for (const JobPointer &job : ordered) {
        if (blockedPriority && job->route.priority > *blockedPriority) {
            break; // less urgent jobs must not take the capacity that a more urgent one waits for
        }
        const bool isOrdinary = job->job.steps.front().requiredLabel.empty();
        // A task that is no smaller than one that fitted nowhere does not fit either; each search visits every agent.
        if (!isTooLarge(*job) && placeTasks(job, now)) {
            continue;
        }
        addDemand(demands, *job);
        if (!reserving && shouldReserve(*job, now)) {
            reserving = job;
        }
        if (isOrdinary && !blockedPriority) {
            blockedPriority = job->route.priority;
        }
    }
    flushStarts(actions);
    measureBacklogs(ordered, now);
    for (SendOnLink &request : m_agentRegistry.requestCapacity(demands, now, reviewReservations(reserving, now, actions))) {
        actions.emplace_back(std::move(request));
    }
    reviewQueue(ordered, now, actions);
}

void DirectEntryCore::measureBacklogs(const std::vector<JobPointer> &ordered, Instant now)
{
    for (auto &[priority, backlog] : m_backlogs) {
        backlog.isWaiting = backlog.isWaiting && !isStarting(now);
        backlog.rate.observe(std::exchange(backlog.started, 0.0), backlog.isWaiting, now);
        backlog.isWaiting = false;
    }
    for (const JobPointer &job : ordered) {
        if (job->waiting > 0) {
            m_backlogs[job->route.priority].isWaiting = true;
        }
    }
}

/** Returns the time by which a job must be expected to end in order to stay in the queue even if it delays others. */
Instant DirectEntryCore::usefulUntil(const Job &job) const
{
    return std::min(job.deadline, job.arrived + scaled(job.objective - job.arrived, m_options.usefulFactor));
}

DirectEntryCore::ServiceRates DirectEntryCore::serviceRates(const std::vector<JobPointer> &ordered, Instant now) const
{
    ServiceRates rates;
    if (isStarting(now)) {
        return rates;
    }
    for (const JobPointer &job : ordered) {
        const auto [known, isNew] = rates.try_emplace(job->route.service);
        if (isNew) {
            known->second = workRate(job->route.service, now);
        }
    }
    return rates;
}

/** Returns the expected wait of a job behind waiting work of its priority; none while no rate is known. */
Duration DirectEntryCore::expectedWait(const Job &job, double ahead, const ServiceRates &rates) const
{
    const auto known = rates.find(job.route.service);
    const auto backlog = m_backlogs.find(job.route.priority);
    if (known == rates.end() || known->second <= 0 || backlog == m_backlogs.end()) {
        return Duration(0);
    }
    return Duration(static_cast<Duration::rep>(ahead / backlog->second.rate.rate(known->second)));
}

/** Returns how much late work the jobs that can be on time bear ahead of them. */
LatenessBudget DirectEntryCore::latenessBudget(const std::vector<JobPointer> &ordered, const ServiceRates &rates, Instant now) const
{
    LatenessBudget budget;
    std::map<std::uint32_t, double> aheadOf; // waiting work of the same priority that is ahead in the queue
    for (const JobPointer &job : ordered) {
        const auto rate = rates.find(job->route.service);
        if (job->waiting == 0 || job->isClosed || rate == rates.end()) {
            continue;
        }
        double &ahead = aheadOf[job->route.priority];
        const Duration spare = job->objective - (now + expectedWait(*job, ahead, rates) + job->chain);
        if (spare >= 0ms) {
            budget.addPunctualJob(job->route.service, job->route.priority, static_cast<double>(spare.count()) * rate->second);
            ahead += job->work;
        }
    }
    return budget;
}

/** Returns whether a job that was admitted during the startup has proved to be one that no agent could run. */
bool DirectEntryCore::isKnownUnfit(Job &job, Instant now) const
{
    if (!job.isFitUnknown || isStarting(now) || m_agentRegistry.openAgents() == 0) {
        return false;
    }
    job.isFitUnknown = false;
    return !job.hasStarted && !couldEverRun(job.route, job.job);
}

void DirectEntryCore::refuse(const JobPointer &job, const DirectAnswer &refusal, const std::string &detail, Instant now, EntryActions &actions)
{
    note(actions, "refused", job->job.id, refusal.reason + detail);
    answer(job, refusal, now, actions);
}

void DirectEntryCore::reviewQueue(const std::vector<JobPointer> &ordered, Instant now, EntryActions &actions)
{
    if (ordered.empty()) {
        return;
    }
    std::map<std::uint32_t, double> aheadOf; // waiting work of the same priority that is ahead in the queue
    const bool cannotStart = isWithoutAgents(now);
    const ServiceRates rates = serviceRates(ordered, now);
    std::optional<LatenessBudget> budget; // made for the first job that would be late
    const auto mayBeLate = [&](const Job &job) {
        if (!budget) {
            budget = latenessBudget(ordered, rates, now);
        }
        return budget->take(job.route.service, job.route.priority, job.work);
    };
    for (const JobPointer &job : ordered) {
        if (job->waiting == 0 || job->isClosed) {
            continue;
        }
        if (isHeldByDrain(*job, now)) {
            refuse(job, zoneDrained(), "", now, actions);
            continue;
        }
        if (isKnownUnfit(*job, now)) {
            refuse(job, neverRunnable(), "", now, actions);
            continue;
        }
        if (cannotStart && !job->hasStarted) {
            refuse(job, noAgent(), "", now, actions);
            continue;
        }
        double &ahead = aheadOf[job->route.priority];
        const Duration wait = expectedWait(*job, ahead, rates);
        const Instant expectedEnd = now + wait + job->chain;
        if (job->hasStarted || expectedEnd <= usefulUntil(*job) || (expectedEnd <= job->deadline && mayBeLate(*job))) {
            ahead += job->work;
            continue;
        }
        const DirectAnswer refusal{ DirectVerdict::NotRun, "overloaded", std::clamp(wait, shortestRetryAfter, longestRetryAfter) };
        const std::string times
            = ", expected wait " + std::to_string(wait.count() / 1000) + " ms after " + std::to_string((now - job->arrived).count() / 1000) + " ms";
        refuse(job, refusal, times, now, actions);
    }
}

} // namespace lagoonroute
