#include "policyrun.h"

#include <algorithm>
#include <string>

namespace lagoonroute::bench
{

namespace
{

constexpr std::uint64_t schedulerSeed = 7;
constexpr std::uint32_t slowWorker = 3;
constexpr std::uint32_t faultyWorker = 5;
constexpr Instant faultStart{ std::chrono::seconds(10) };
constexpr Instant faultEnd{ std::chrono::seconds(40) };
constexpr Duration failureTime = std::chrono::milliseconds(5);
constexpr Duration deadline = std::chrono::seconds(60);
constexpr std::uint32_t workersPerRack = 3;

NodeId nodeOf(std::uint32_t worker)
{
    return NodeId{ worker + 1 };
}

/** Encodes the index of the task in its identity, so that taskOf() needs no table. */
TaskId taskIdOf(std::uint32_t task, std::uint32_t job)
{
    constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15;
    return { JobId{ Digest{ task, hashMultiplier * (task + 1) + job } }, 0 };
}

std::uint32_t taskOf(const TaskId &id)
{
    return static_cast<std::uint32_t>(id.job.digest.high);
}

} // namespace

template <PlacementPolicy Policy>
PolicyRun<Policy>::PolicyRun(const Deployment &deployment, const Scenario &scenario, const std::vector<WorkItem> &items, ServiceRules rules)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_items(items)
    , m_depth(rules.executorQueueDepth())
    , m_scheduler(std::move(rules), schedulerSeed)
    , m_executors(deployment.workers)
{
    m_scheduler.setHome(nodeOf(0));
    for (std::uint32_t worker = 0; worker < deployment.workers; ++worker) {
        m_scheduler.updateWorker(WorkerState{
            .node = nodeOf(worker), .incarnation = 1, .rack = std::to_string(worker / workersPerRack), .slots = deployment.slots, .connections = 64 });
    }
}

template <PlacementPolicy Policy>
RunResult PolicyRun<Policy>::run(std::string name)
{
    m_result.policy = std::move(name);
    m_jobs.resize(m_items.empty() ? 0 : m_items.back().job + 1);
    for (std::uint32_t task = 0; task < m_items.size(); ++task) {
        const bool isFirstOfJob = task == 0 || m_items[task - 1].job != m_items[task].job;
        if (isFirstOfJob) {
            post(m_items[task].arrival + m_deployment.hop, Kind::Arrival, task);
        }
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    return std::move(m_result);
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::post(Instant at, Kind kind, std::uint32_t task, std::uint32_t worker, bool failed)
{
    m_events.push(Event{ at, ++m_sequence, kind, task, worker, failed });
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::handle(const Event &event)
{
    switch (event.kind) {
    case Kind::Arrival:
        arrive(event.task);
        break;
    case Kind::Start:
        startAt(event.task, event.worker);
        return;
    case Kind::End:
        end(event);
        return;
    case Kind::Report:
        report(event);
        break;
    case Kind::Refusal:
        refuse(event);
        break;
    case Kind::Withdrawal:
        withdraw(event);
        return;
    case Kind::Wake:
        m_wake.reset();
        break;
    }
    place();
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::arrive(std::uint32_t first)
{
    const WorkItem &item = m_items[first];
    std::vector<TaskDemand> demands;
    for (std::uint32_t task = first; task < first + item.jobSize; ++task) {
        demands.push_back(demandOf(task));
    }
    if (m_scheduler.admit(demands, m_now)) {
        ++m_result.refusedJobs;
        return;
    }
    m_jobs[item.job].unsettled = item.jobSize;
    for (TaskDemand &demand : demands) {
        m_scheduler.enqueue(std::move(demand), m_now);
    }
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::startAt(std::uint32_t task, std::uint32_t worker)
{
    Executor &executor = m_executors[worker];
    if (m_scenario.refusingWorker && isFaulty(worker)) {
        post(m_now + hopTo(worker), Kind::Refusal, task, worker);
        return;
    }
    if (executor.running < m_deployment.slots) {
        execute(task, worker);
        return;
    }
    const bool isFull = Policy::bindsLate && executor.queue.size() >= m_depth;
    if (isFull) {
        post(m_now + hopTo(worker), Kind::Refusal, task, worker);
        return;
    }
    executor.queue.push_back(task);
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::execute(std::uint32_t task, std::uint32_t worker)
{
    ++m_executors[worker].running;
    post(m_now + runTimeOf(task, worker), Kind::End, task, worker, fails(worker));
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::end(const Event &event)
{
    Executor &executor = m_executors[event.worker];
    --executor.running;
    if (!executor.queue.empty()) {
        const std::uint32_t next = executor.queue.front();
        executor.queue.pop_front();
        execute(next, event.worker);
    }
    post(m_now + hopTo(event.worker), Kind::Report, event.task, event.worker, event.failed);
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::report(const Event &event)
{
    const TaskId id = taskIdOf(event.task, m_items[event.task].job);
    const Duration runTime = event.failed ? failureTime : runTimeOf(event.task, event.worker);
    m_scheduler.attemptEnded(id, nodeOf(event.worker), event.failed ? AttemptResult::FailedAtWorker : AttemptResult::Succeeded, runTime, m_now);
    Job &job = m_jobs[m_items[event.task].job];
    job.ranRemotely = job.ranRemotely || event.worker != 0;
    job.longest = std::max(job.longest, m_items[event.task].work);
    settle(event.task, event.failed);
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::refuse(const Event &event)
{
    m_result.wastedMessages += 2;
    const TaskDemand demand = demandOf(event.task);
    m_scheduler.attemptEnded(demand.task, nodeOf(event.worker), AttemptResult::RefusedNotStarted, Duration{ 0 }, m_now);
    m_scheduler.enqueue(demand, m_now);
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::withdraw(const Event &event)
{
    m_result.wastedMessages += 1;
    std::deque<std::uint32_t> &queue = m_executors[event.worker].queue;
    const auto found = std::find(queue.begin(), queue.end(), event.task);
    if (found != queue.end()) {
        queue.erase(found);
        post(m_now + hopTo(event.worker), Kind::Refusal, event.task, event.worker);
    }
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::place()
{
    for (const TaskId &id : m_scheduler.takeExpired(m_now)) {
        settle(taskOf(id), true);
    }
    while (const auto placement = m_scheduler.nextPlacement(m_now)) {
        const auto worker = static_cast<std::uint32_t>(placement->worker.value - 1);
        post(m_now + hopTo(worker), Kind::Start, taskOf(placement->task), worker);
    }
    if (Policy::bindsLate) {
        for (const Placement &placement : m_scheduler.takeStragglerWithdrawals(m_now)) {
            const auto worker = static_cast<std::uint32_t>(placement.worker.value - 1);
            post(m_now + hopTo(worker), Kind::Withdrawal, taskOf(placement.task), worker);
        }
    }
    const auto wake = m_scheduler.nextWake();
    if (wake && (!m_wake || *wake < *m_wake)) {
        m_wake = std::max(*wake, m_now + Duration(1));
        post(*m_wake, Kind::Wake);
    }
}

template <PlacementPolicy Policy>
void PolicyRun<Policy>::settle(std::uint32_t task, bool failed)
{
    const WorkItem &item = m_items[task];
    Job &job = m_jobs[item.job];
    ++m_result.tasks;
    m_result.failedTasks += failed ? 1 : 0;
    job.failed = job.failed || failed;
    if (--job.unsettled > 0 || job.failed || item.caller == floodCaller) {
        return;
    }
    const Duration added = m_now + m_deployment.hop - item.arrival - job.longest;
    const Duration hops = m_deployment.hop * (job.ranRemotely ? 4 : 2);
    m_result.added.push_back(added);
    m_result.beyondHops.push_back(added - hops);
}

template <PlacementPolicy Policy>
Duration PolicyRun<Policy>::hopTo(std::uint32_t worker) const
{
    return worker == 0 ? Duration{ 0 } : m_deployment.hop;
}

template <PlacementPolicy Policy>
TaskDemand PolicyRun<Policy>::demandOf(std::uint32_t task) const
{
    const WorkItem &item = m_items[task];
    return TaskDemand{ .task = taskIdOf(task, item.job),
                       .caller = "caller-" + std::to_string(item.caller),
                       .declaredRunTime = item.declared,
                       .startBy = item.arrival + deadline,
                       .jobSize = item.jobSize };
}

template <PlacementPolicy Policy>
Duration PolicyRun<Policy>::runTimeOf(std::uint32_t task, std::uint32_t worker) const
{
    if (fails(worker)) {
        return failureTime;
    }
    const double factor = worker == slowWorker ? m_scenario.slowdown : 1;
    return Duration(static_cast<Duration::rep>(static_cast<double>(m_items[task].work.count()) * factor));
}

template <PlacementPolicy Policy>
bool PolicyRun<Policy>::fails(std::uint32_t worker) const
{
    return m_scenario.failingWorker && isFaulty(worker);
}

template <PlacementPolicy Policy>
bool PolicyRun<Policy>::isFaulty(std::uint32_t worker) const
{
    return worker == faultyWorker && m_now >= faultStart && m_now < faultEnd;
}

template class PolicyRun<LateBinding>;
template class PolicyRun<RandomChoice>;
template class PolicyRun<RoundRobin>;
template class PolicyRun<TwoChoices>;
template class PolicyRun<LeastLoaded>;

} // namespace lagoonroute::bench
