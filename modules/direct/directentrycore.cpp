#include <lagoonroute/direct/directentrycore.h>

#include "directtimes.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Interval between two reviews of the queue and of the runs. */
constexpr Duration reviewInterval = 20ms;
/** Time after which a link without a handshake is closed. */
constexpr Duration handshakeTimeout = 2s;

} // namespace

DirectEntryCore::DirectEntryCore(Options options)
    : m_options(std::move(options))
    , m_agentRegistry(m_options.agentRegistry)
    , m_drains(m_options.hasZoneDrains)
    , m_unconfirmedRuns(m_options.node, m_options.incarnation)
    , m_answers(m_options.retainedAnswers)
{
}

bool DirectEntryCore::setRoutes(RouteTable routes, EntryActions &actions)
{
    if (routes.version() <= m_routes.version()) {
        return false;
    }
    note(actions, "routes", m_options.node, "version " + std::to_string(m_routes.version()) + " -> " + std::to_string(routes.version()));
    m_routes = std::move(routes);
    return true;
}

std::optional<Instant> DirectEntryCore::routesAwaitedUntil(Instant arrived, Duration callerTimeout) const
{
    if (m_routes.version() != 0) {
        return std::nullopt;
    }
    return arrived + (callerTimeout > 0ms ? scaled(callerTimeout, m_options.routesWaitShare) : m_options.routesTimeout);
}

void DirectEntryCore::setPeers(std::size_t count)
{
    m_peers = count;
    m_agentRegistry.setEntries(count + 1);
}

std::optional<DirectAnswer> DirectEntryCore::refusalOf(const RouteRule &route, const DirectJob &job, Instant now) const
{
    if (!job.unsupported.empty() || !route.unsupported.empty()) {
        return DirectAnswer{ DirectVerdict::NotRun, "unsupported: " + (route.unsupported.empty() ? job.unsupported.front() : route.unsupported), 0ms };
    }
    if (m_jobs.size() >= m_options.maxJobs || !m_options.jobMemory.hasRoom(job)) {
        return DirectAnswer{ DirectVerdict::NotRun, "overloaded", shortestRetryAfter };
    }
    if (isStarting(now)) {
        return std::nullopt; // the handshakes of agents follow shortly
    }
    if (runsOnlyWhereDrained(route, job)) {
        return zoneDrained();
    }
    if (isWithoutAgents(now)) {
        return noAgent();
    }
    if (m_agentRegistry.openAgents() > 0 && !couldEverRun(route, job)) {
        return neverRunnable();
    }
    return std::nullopt;
}

bool DirectEntryCore::couldEverRun(const RouteRule &route, const DirectJob &job) const
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const DirectStep &step) {
        return m_agentRegistry.couldFit(PlacementRequest{ .service = route.service, .need = step.need, .requiredLabel = step.requiredLabel });
    });
}

void DirectEntryCore::submit(const ReceivedSubmission &submission, const RouteRule &route, const DirectJob &job, Instant now, EntryActions &actions)
{
    const RequestId request = submission.request;
    const RetainedAnswers::Answer *kept = m_answers.find(job.id, now);
    if (kept != nullptr && kept->answer) {
        actions.emplace_back(AnswerRequest{ request, job.id, *kept->answer });
        return;
    }
    const auto known = m_jobs.find(job.id);
    if (known != m_jobs.end()) {
        // A resubmission: tasks that were stopped when the job was abandoned are placed again once their runs are over.
        const JobPointer open = known->second;
        open->requests.push_back(request);
        m_byRequest[request] = open;
        if (std::exchange(open->isClosed, false)) {
            open->deadline = submission.arrived + (submission.callerTimeout > 0ms ? submission.callerTimeout : route.timeout);
            for (Task &task : open->tasks) {
                if (task.phase == TaskPhase::Dropped) {
                    task.phase = TaskPhase::Blocked;
                }
            }
            unblock(*open);
        }
        m_needsPlacement = true;
        handleTimers(now, actions);
        return;
    }
    const bool hasStarted = kept != nullptr || m_unconfirmedRuns.isAnnounced(job.id);
    if (auto refusal = refusalOf(route, job, now)) {
        if (hasStarted) {
            refusal->verdict = DirectVerdict::TimedOut; // the verdict NotRun would be wrong
        }
        note(actions, "refused", job.id, refusal->reason);
        actions.emplace_back(AnswerRequest{ request, job.id, *refusal });
        return;
    }
    if (m_unconfirmedRuns.isAnnounced(job.id)) {
        note(actions, "held", job.id, "another entry cannot confirm that its runs are over");
    }
    const JobPointer admitted = admit(submission, route, job);
    admitted->hasStarted = hasStarted;
    admitted->isFitUnknown = isStarting(now) || m_agentRegistry.openAgents() == 0;
    admitted->requests.push_back(request);
    m_byRequest[request] = admitted;
    m_jobs[job.id] = admitted;
    m_needsPlacement = true;
    handleTimers(now, actions);
}

DirectEntryCore::JobPointer DirectEntryCore::admit(const ReceivedSubmission &submission, const RouteRule &route, const DirectJob &job)
{
    const Instant arrived = submission.arrived;
    const Duration routeTimeout = route.timeout > 0ms ? route.timeout : 60s;
    auto admitted = std::make_shared<Job>();
    admitted->job = job;
    admitted->route = route;
    admitted->memory = m_options.jobMemory.reserve(job);
    admitted->arrived = arrived;
    std::vector<Duration> chains;
    Duration declared{ 0 };
    for (std::uint32_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
        const DirectStep &step = job.steps[stepIndex];
        Duration before{ 0 };
        for (const std::uint32_t earlier : step.after) {
            before = std::max(before, chains[earlier]);
        }
        const Duration expected = m_estimator.estimate(route.name, step.estimate);
        chains.push_back(before + expected);
        declared = std::max(declared, chains.back());
        admitted->firstOfStep.push_back(admitted->tasks.size());
        for (std::uint32_t index = 0; index < step.count; ++index) {
            Task &task = admitted->tasks.emplace_back();
            task.step = stepIndex;
            task.index = index;
            task.expected = expected;
        }
    }
    admitted->chain = declared;
    admitted->objective = arrived + scaled(declared, route.stretch) + route.targetLatency;
    admitted->deadline = arrived + (submission.callerTimeout > 0ms ? submission.callerTimeout : routeTimeout);
    unblock(*admitted);
    const double meanWork = std::max(1.0, static_cast<double>(m_estimator.mean().count()) * 20'000);
    admitted->sortKey = arrived + std::min(largestHeadStart, scaled(largestHeadStart / 4, admitted->work / meanWork));
    return admitted;
}

void DirectEntryCore::unblock(Job &job)
{
    std::vector<bool> isStepDone(job.job.steps.size(), true);
    for (const Task &task : job.tasks) {
        isStepDone[task.step] = isStepDone[task.step] && task.phase == TaskPhase::Done;
    }
    std::vector<bool> isFree; // by step, since a job may have thousands of tasks and of earlier steps
    for (const DirectStep &step : job.job.steps) {
        isFree.push_back(std::all_of(step.after.begin(), step.after.end(), [&](std::uint32_t earlier) { return isStepDone[earlier]; }));
    }
    for (Task &task : job.tasks) {
        if (task.phase == TaskPhase::Blocked && isFree[task.step]) {
            requeue(job, task);
        }
    }
}

void DirectEntryCore::requeue(Job &job, Task &task)
{
    task.phase = TaskPhase::Waiting;
    task.agent = {};
    task.link = 0;
    task.forecastEnd.reset();
    task.forecastTotal = Duration(0);
    task.isStalled = false;
    ++job.waiting;
    task.work = static_cast<double>(job.job.steps[task.step].need.cpuMillis) * static_cast<double>(task.expected.count());
    job.work += task.work;
    m_needsPlacement = true;
}

void DirectEntryCore::requestClosed(RequestId request, Instant now, EntryActions &actions)
{
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end()) {
        return;
    }
    const JobPointer job = found->second;
    m_byRequest.erase(found);
    job->requests.erase(std::remove(job->requests.begin(), job->requests.end(), request), job->requests.end());
    if (job->requests.empty() && !job->isClosed) {
        note(actions, "abandoned", job->job.id, "the client account closed its connection");
        if (job->hasStarted) {
            m_answers.retain(job->job.id, std::nullopt, now);
        }
        closeJob(job, now, actions);
    }
    handleTimers(now, actions);
}

void DirectEntryCore::closeJob(const JobPointer &job, Instant now, EntryActions &actions)
{
    job->isClosed = true;
    job->closedAt = now;
    for (Task &task : job->tasks) {
        switch (task.phase) {
        case TaskPhase::Waiting:
            --job->waiting;
            [[fallthrough]];
        case TaskPhase::Blocked:
            task.phase = TaskPhase::Dropped;
            break;
        case TaskPhase::Sent:
            task.phase = TaskPhase::Stopping;
            actions.emplace_back(SendOnLink{ task.link, StopTask{ { job->job.id, task.step, task.index }, task.run } });
            break;
        default:
            break;
        }
    }
    job->work = 0;
    eraseIfFinished(job);
}

void DirectEntryCore::eraseIfFinished(const JobPointer &job)
{
    if (job->isClosed && job->active == 0) {
        m_jobs.erase(job->job.id);
    }
}

void DirectEntryCore::eraseFinishedJobs()
{
    std::erase_if(m_jobs, [](const auto &item) { return item.second->isClosed && item.second->active == 0; });
}

void DirectEntryCore::answer(const JobPointer &job, const DirectAnswer &answer, Instant now, EntryActions &actions)
{
    if (answer.verdict != DirectVerdict::NotRun) {
        m_answers.retain(job->job.id, answer, now);
    }
    for (const RequestId request : std::exchange(job->requests, {})) {
        m_byRequest.erase(request);
        actions.emplace_back(AnswerRequest{ request, job->job.id, answer });
    }
    closeJob(job, now, actions);
}

DirectEntryCore::Task *DirectEntryCore::findTask(const DirectTaskId &id, JobPointer &job)
{
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || id.step >= found->second->firstOfStep.size()) {
        return nullptr;
    }
    job = found->second;
    const std::size_t position = job->firstOfStep[id.step] + id.index;
    if (id.index >= job->job.steps[id.step].count || position >= job->tasks.size()) {
        return nullptr;
    }
    return &job->tasks[position];
}

void DirectEntryCore::openLink(LinkId link, Instant now, EntryActions &actions)
{
    m_unidentifiedLinks[link] = now;
    actions.emplace_back(SendOnLink{ link, EntryHello{ m_options.node, m_options.address, m_drains.features() | UnconfirmedRunsExchange::features() } });
}

void DirectEntryCore::closeLink(LinkId link, Instant now, EntryActions &actions)
{
    m_unidentifiedLinks.erase(link);
    m_drains.linkClosed(link);
    m_unconfirmedRuns.linkClosed(link, now);
    const AgentRegistry::Agent *agent = m_agentRegistry.byLink(link);
    if (agent == nullptr) {
        return;
    }
    const auto node = m_agentRegistry.closeLink(link);
    if (node) {
        agentLost(*node, now, actions);
    }
    reviewOpenAgents(now);
    handleTimers(now, actions);
}

void DirectEntryCore::receive(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions)
{
    if (const auto *hello = std::get_if<AgentHello>(&message)) {
        m_unidentifiedLinks.erase(link);
        agentCleared(m_agentRegistry.identify(link, *hello, now));
        note(actions, "agent-greeted", hello->node, hello->zone);
    }
    if (std::holds_alternative<EntryHello>(message)) {
        m_unidentifiedLinks.erase(link); // another entry, which is not an agent
    }
    exchangeDrains(link, message, now, actions);
    exchangeUnconfirmedRuns(link, message, now, actions);
    const AgentRegistry::Agent *agent = m_agentRegistry.byLink(link);
    if (agent == nullptr) {
        return;
    }
    const NodeId node = NodeId::fromName(agent->name);
    if (const auto *heartbeat = std::get_if<AgentHeartbeat>(&message)) {
        m_agentRegistry.recordHeartbeat(link, now);
        actions.emplace_back(SendOnLink{ link, EntryEcho{ heartbeat->clock } });
    } else if (const auto *offer = std::get_if<AgentOffer>(&message)) {
        note(actions, "agent-offer", agent->name, offer->isOpen ? "open" : "closed");
        if (offer->isOpen) {
            m_lastOpened = now;
        }
        m_agentRegistry.setOffer(link, *offer);
        reviewOpenAgents(now);
        m_needsPlacement = true;
    } else if (const auto *capacity = std::get_if<AgentFreeCapacity>(&message)) {
        m_agentRegistry.setFreeCapacity(link, *capacity);
        m_needsPlacement = true;
    } else if (const auto *end = std::get_if<TaskEnded>(&message)) {
        taskEnded(node, *end, now, actions);
    } else if (const auto *forecast = std::get_if<RunForecast>(&message)) {
        takeForecast(node, *forecast, now);
    } else if (const auto *refusal = std::get_if<StartRefused>(&message)) {
        startRefused(node, *refusal, now, actions);
    }
}

void DirectEntryCore::processPaused(Instant now, EntryActions &actions)
{
    note(actions, "stalled", m_options.node, "all links are dropped", true);
    std::vector<LinkId> links;
    for (const auto &[node, agent] : m_agentRegistry.agents()) {
        if (agent.link != 0) {
            links.push_back(agent.link);
        }
    }
    for (const LinkId link : links) {
        actions.emplace_back(CloseLink{ link });
        closeLink(link, now, actions);
    }
}

DirectAnswer DirectEntryCore::deadlineAnswer(const Job &job)
{
    if (job.hasStarted) {
        return DirectAnswer{ DirectVerdict::TimedOut, "deadline", 0ms };
    }
    return DirectAnswer{ DirectVerdict::NotRun, "deadline-too-short", shortestRetryAfter };
}

void DirectEntryCore::expire(Instant now, EntryActions &actions)
{
    std::vector<JobPointer> over;
    for (const auto &[id, job] : m_jobs) {
        if (!job->isClosed && now >= job->deadline) {
            over.push_back(job);
        }
    }
    for (const JobPointer &job : over) {
        const DirectAnswer last = deadlineAnswer(*job);
        note(actions, "time-over", job->job.id, last.reason + ", " + std::to_string(job->done) + " of " + std::to_string(job->tasks.size()) + " tasks done");
        answer(job, last, now, actions);
    }
}

void DirectEntryCore::reviewAgents(Instant now, EntryActions &actions)
{
    std::vector<LinkId> unresponsive;
    for (const auto &[node, agent] : m_agentRegistry.agents()) {
        if (agent.link != 0 && now - agent.lastHeartbeat > m_options.linkTimeout) {
            unresponsive.push_back(agent.link);
        }
    }
    for (const auto &[link, opened] : m_unidentifiedLinks) {
        if (now - opened > handshakeTimeout) {
            unresponsive.push_back(link);
        }
    }
    for (const LinkId link : unresponsive) {
        actions.emplace_back(CloseLink{ link });
        closeLink(link, now, actions);
    }
    std::vector<NodeId> gone;
    for (const auto &[node, agent] : m_agentRegistry.agents()) {
        if (agent.link == 0 && now - agent.lastHeartbeat > m_options.agentRetention) {
            gone.push_back(node);
        }
    }
    for (const NodeId node : gone) {
        m_agentRegistry.remove(node);
    }
}

void DirectEntryCore::handleTimers(Instant now, EntryActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        expire(now, actions);
        reviewRuns(now, actions);
        reviewAgents(now, actions);
        reviewUnconfirmedRuns(now, actions);
        m_needsPlacement = true;
    }
    if (m_needsPlacement) {
        placeWaitingJobs(now, actions);
    }
}

std::optional<Instant> DirectEntryCore::nextWake() const
{
    if (m_jobs.empty()) {
        return m_nextReview + m_options.linkTimeout / 4;
    }
    return m_nextReview;
}

std::size_t DirectEntryCore::waiting(const std::string &route) const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &item) {
        return item.second->route.name == route && !item.second->hasStarted && !item.second->isClosed;
    }));
}

std::size_t DirectEntryCore::openJobs() const
{
    return static_cast<std::size_t>(std::count_if(m_jobs.begin(), m_jobs.end(), [](const auto &item) { return !item.second->isClosed; }));
}

std::size_t DirectEntryCore::unconfirmedRuns() const
{
    std::size_t sum = 0;
    for (const auto &[id, job] : m_jobs) {
        sum += static_cast<std::size_t>(
            std::count_if(job->tasks.begin(), job->tasks.end(), [](const Task &task) { return task.phase == TaskPhase::Unconfirmed; }));
    }
    return sum;
}

void DirectEntryCore::note(EntryActions &actions, std::string event, std::string subject, std::string detail, bool isWarning) const
{
    actions.emplace_back(DecisionNote{ std::move(event), std::move(subject), std::move(detail), isWarning });
}

} // namespace lagoonroute
