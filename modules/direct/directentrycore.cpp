#include <lagoonroute/direct/directentrycore.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** Pause between two reviews of the queue and of the runs. */
constexpr Duration reviewInterval = 20ms;
/** A link that says nothing after it was opened is closed. */
constexpr Duration greetingTime = 2s;
/** Least time that a refusal asks a client account to wait: a shorter one would only come back into the same queue. */
constexpr Duration shortestRetryAfter = 1s;
/** Share of the upstreams' processors that an entry counts on for itself before it has measured more. */
constexpr double expectedUse = 0.85;
/** Time over which the rate of finished work is smoothed. */
constexpr Duration workRateTime = 1s;
/** Head start in the queue of a small job over a large one of the same priority, at most. */
constexpr Duration largestHeadStart = 120ms;
/** Run number that is certainly above what other entries have used for a task. */
constexpr std::uint32_t runLeap = 4;
/** Weight of a comparison with the declared run time, which is off by 40 % as a rule, and with tasks of the same step. */
constexpr double estimateWeight = 0.05;
constexpr double siblingWeight = 0.3;

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace

DirectEntryCore::Options DirectEntryCore::Options::withNode(std::string name, std::string ownAddress) const
{
    Options changed = *this;
    changed.node = std::move(name);
    changed.address = std::move(ownAddress);
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withZone(const std::string &zone) const
{
    Options changed = *this;
    changed.board = changed.board.withZone(zone);
    return changed;
}

DirectEntryCore::DirectEntryCore(Options options)
    : m_options(std::move(options))
    , m_board(m_options.board)
{
}

bool DirectEntryCore::setRoutes(RouteTable routes, Instant /*now*/, EntryActions &actions)
{
    if (routes.version() <= m_routes.version()) {
        return false;
    }
    note(actions, "routes", m_options.node, "version " + std::to_string(m_routes.version()) + " -> " + std::to_string(routes.version()));
    m_routes = std::move(routes);
    return true;
}

void DirectEntryCore::setPeers(std::size_t count)
{
    m_peers = count;
}

std::optional<DirectAnswer> DirectEntryCore::refusalOf(const RouteRule &route, const DirectJob &job, Instant now) const
{
    if (!job.unsupported.empty() || !route.unsupported.empty()) {
        return DirectAnswer{ DirectVerdict::NotRun, "unsupported: " + (route.unsupported.empty() ? job.unsupported.front() : route.unsupported), 0ms };
    }
    if (m_jobs.size() >= m_options.maxJobs) {
        return DirectAnswer{ DirectVerdict::NotRun, "overloaded", shortestRetryAfter };
    }
    if (m_board.openAgents() == 0) {
        if (m_startedAt && now - *m_startedAt < m_options.startTime) {
            return std::nullopt; // agents greet within moments of the start
        }
        return DirectAnswer{ DirectVerdict::NotRun, "no-worker", shortestRetryAfter };
    }
    for (const DirectStep &step : job.steps) {
        if (!m_board.couldFit(PlacementWish{ .service = route.service, .need = step.need, .requiredLabel = step.requiredLabel })) {
            return DirectAnswer{ DirectVerdict::NotRun, "never-runnable", shortestRetryAfter };
        }
    }
    return std::nullopt;
}

void DirectEntryCore::submit(RequestId request, const RouteRule &route, const DirectJob &job, Duration patience, Instant now, EntryActions &actions)
{
    const auto kept = std::find_if(m_answers.begin(), m_answers.end(), [&](const KeptAnswer &answer) { return answer.job == job.id; });
    if (kept != m_answers.end() && now < kept->until) {
        actions.emplace_back(AnswerRequest{ request, job.id, kept->answer });
        return;
    }
    const auto known = m_jobs.find(job.id);
    if (known != m_jobs.end()) {
        // A resubmission; what an earlier one has stopped is run again once it is over.
        const JobPointer open = known->second;
        open->requests.push_back(request);
        m_byRequest[request] = open;
        if (std::exchange(open->isClosed, false)) {
            open->deadline = now + (patience > 0ms ? patience : route.timeout);
            for (Task &task : open->tasks) {
                if (task.phase == TaskPhase::Dropped) {
                    task.phase = TaskPhase::Blocked;
                }
            }
            unblock(*open);
        }
        m_needsPump = true;
        elapse(now, actions);
        return;
    }
    if (const auto refusal = refusalOf(route, job, now)) {
        note(actions, "refused", job.id, refusal->reason);
        actions.emplace_back(AnswerRequest{ request, job.id, *refusal });
        return;
    }
    const JobPointer admitted = admit(route, job, patience, now);
    admitted->requests.push_back(request);
    m_byRequest[request] = admitted;
    m_jobs[job.id] = admitted;
    m_needsPump = true;
    elapse(now, actions);
}

DirectEntryCore::JobPointer DirectEntryCore::admit(const RouteRule &route, const DirectJob &job, Duration patience, Instant now)
{
    auto admitted = std::make_shared<Job>();
    admitted->job = job;
    admitted->route = route;
    admitted->arrived = now;
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
    admitted->objective = now + scaled(declared, route.stretch) + route.targetLatency;
    admitted->deadline = now + (patience > 0ms ? patience : (route.timeout > 0ms ? route.timeout : 60s));
    unblock(*admitted);
    const double meanWork = std::max(1.0, static_cast<double>(m_estimator.mean().count()) * 20'000);
    admitted->sortKey = now + std::min(largestHeadStart, scaled(largestHeadStart / 4, admitted->work / meanWork));
    return admitted;
}

void DirectEntryCore::unblock(Job &job)
{
    for (Task &task : job.tasks) {
        if (task.phase != TaskPhase::Blocked) {
            continue;
        }
        const auto &after = job.job.steps[task.step].after;
        const bool isFree = std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
            return std::all_of(job.tasks.begin(), job.tasks.end(), [&](const Task &other) { return other.step != earlier || other.phase == TaskPhase::Done; });
        });
        if (isFree) {
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
    m_needsPump = true;
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
        closeJob(job, now, actions);
    }
    elapse(now, actions);
}

void DirectEntryCore::closeJob(const JobPointer &job, Instant /*now*/, EntryActions &actions)
{
    job->isClosed = true;
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
    eraseIfOver(job);
}

void DirectEntryCore::eraseIfOver(const JobPointer &job)
{
    if (job->isClosed && job->active == 0) {
        m_jobs.erase(job->job.id);
    }
}

void DirectEntryCore::answer(const JobPointer &job, const DirectAnswer &answer, Instant now, EntryActions &actions)
{
    if (answer.verdict != DirectVerdict::NotRun) {
        rememberAnswer(job->job.id, answer, now);
    }
    for (const RequestId request : std::exchange(job->requests, {})) {
        m_byRequest.erase(request);
        actions.emplace_back(AnswerRequest{ request, job->job.id, answer });
    }
    closeJob(job, now, actions);
}

void DirectEntryCore::rememberAnswer(const std::string &job, const DirectAnswer &answer, Instant now)
{
    while (!m_answers.empty() && (m_answers.front().until <= now || m_answers.size() >= m_options.maxKeptAnswers)) {
        m_answers.pop_front();
    }
    m_answers.push_back(KeptAnswer{ job, answer, now + m_options.answerRetention });
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

void DirectEntryCore::taskEnded(NodeId agent, const TaskEnded &end, Instant now, EntryActions &actions)
{
    JobPointer job;
    Task *task = findTask(end.task, job);
    if (task == nullptr || task->run != end.run || task->agent != agent || (task->phase != TaskPhase::Sent && task->phase != TaskPhase::Stopping)) {
        return;
    }
    --job->active;
    m_board.runOver(agent);
    const Duration runTime = now - task->sentAt;
    const double work = static_cast<double>(job->job.steps[task->step].need.cpuMillis) * static_cast<double>(task->expected.count());
    const double kept = std::exp(-static_cast<double>((now - m_doneAt).count()) / static_cast<double>(workRateTime.count()));
    m_doneWork = (m_doneWork * kept) + (work / static_cast<double>(workRateTime.count()));
    m_doneAt = now;
    if (!end.checkpoint.empty()) {
        task->checkpoint = end.checkpoint;
    }
    switch (end.end) {
    case RunEnd::Done: {
        const double slowness = m_board.slowness(agent);
        m_board.learn(agent, AttemptResult::Succeeded, runTime, task->expected, now);
        m_estimator.observe(job->route.name, job->job.steps[task->step].estimate, scaled(runTime, 1 / slowness));
        completeTask(job, *task, now, actions);
        return;
    }
    case RunEnd::Failed:
        ++task->failures;
        m_board.learn(agent, AttemptResult::FailedAtWorker, runTime, task->expected, now);
        note(actions,
             "run-failed",
             job->job.id,
             "task " + std::to_string(end.task.step) + "." + std::to_string(end.task.index) + " run " + std::to_string(end.run) + " at "
                 + (m_board.find(agent) != nullptr ? m_board.find(agent)->name : std::string()));
        task->excluded.push_back(agent);
        break;
    case RunEnd::Stopped:
    case RunEnd::Lost:
        break;
    }
    if (job->isClosed) {
        task->phase = TaskPhase::Dropped;
        eraseIfOver(job);
        return;
    }
    if (task->failures >= job->route.maxAttempts) {
        task->phase = TaskPhase::Dropped;
        answer(job, DirectAnswer{ DirectVerdict::Failed, "upstream-error", 0ms }, now, actions);
        return;
    }
    requeue(*job, *task);
}

void DirectEntryCore::completeTask(const JobPointer &job, Task &task, Instant now, EntryActions &actions)
{
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
    Task *task = findTask(refusal.task, job);
    if (task == nullptr || task->run != refusal.run || task->agent != agent || (task->phase != TaskPhase::Sent && task->phase != TaskPhase::Stopping)) {
        return;
    }
    --job->active;
    m_board.runOver(agent);
    switch (refusal.reason) {
    case StartRefusal::NoRoom:
    case StartRefusal::Closed:
        m_board.roomRefused(agent);
        break;
    case StartRefusal::RunTooLow:
        task->run += runLeap;
        break;
    case StartRefusal::Unhealthy:
    case StartRefusal::Unanswered:
        m_board.learn(agent, AttemptResult::FailedAtWorker, 0ms, task->expected, now);
        task->excluded.push_back(agent);
        break;
    }
    note(actions, "start-refused", job->job.id, "reason " + std::to_string(static_cast<int>(refusal.reason)));
    if (job->isClosed) {
        task->phase = TaskPhase::Dropped;
        eraseIfOver(job);
        return;
    }
    requeue(*job, *task);
}

void DirectEntryCore::openLink(LinkId link, Instant now, EntryActions &actions)
{
    m_strangers[link] = now;
    actions.emplace_back(SendOnLink{ link, EntryHello{ m_options.node, m_options.address } });
}

void DirectEntryCore::closeLink(LinkId link, Instant now, EntryActions &actions)
{
    m_strangers.erase(link);
    const AgentBoard::Agent *agent = m_board.byLink(link);
    if (agent == nullptr) {
        return;
    }
    const Instant lastEcho = agent->lastBeat;
    const auto node = m_board.closeLink(link);
    if (node) {
        agentLost(*node, lastEcho, actions);
    }
    elapse(now, actions);
}

void DirectEntryCore::agentLost(NodeId agent, Instant lastEcho, EntryActions &actions)
{
    std::size_t unproven = 0;
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.agent == agent && (task.phase == TaskPhase::Sent || task.phase == TaskPhase::Stopping)) {
                task.phase = TaskPhase::Unproven;
                task.provenAt = lastEcho + m_options.proofTime;
                ++unproven;
            }
        }
    }
    const AgentBoard::Agent *known = m_board.find(agent);
    note(actions, "agent-lost", known != nullptr ? known->name : std::string(), std::to_string(unproven) + " runs unproven", true);
}

void DirectEntryCore::agentCleared(NodeId agent)
{
    std::vector<JobPointer> closed;
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            const bool isActive = task.phase == TaskPhase::Sent || task.phase == TaskPhase::Stopping || task.phase == TaskPhase::Unproven;
            if (task.agent != agent || !isActive) {
                continue;
            }
            --job->active;
            if (job->isClosed) {
                task.phase = TaskPhase::Dropped;
                closed.push_back(job);
            } else {
                requeue(*job, task);
            }
        }
    }
    for (const JobPointer &job : closed) {
        eraseIfOver(job);
    }
}

void DirectEntryCore::receive(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions)
{
    if (const auto *hello = std::get_if<AgentHello>(&message)) {
        m_strangers.erase(link);
        agentCleared(m_board.greet(link, *hello, now));
        note(actions, "agent-greeted", hello->node, hello->zone);
    }
    if (std::holds_alternative<EntryHello>(message)) {
        m_strangers.erase(link); // another entry; it sends no work
    }
    const AgentBoard::Agent *agent = m_board.byLink(link);
    if (agent == nullptr) {
        return;
    }
    const NodeId node = NodeId::fromName(agent->name);
    if (const auto *beat = std::get_if<AgentBeat>(&message)) {
        m_board.beat(link, now);
        actions.emplace_back(SendOnLink{ link, EntryEcho{ beat->clock } });
    } else if (const auto *offer = std::get_if<AgentOffer>(&message)) {
        note(actions, "agent-offer", agent->name, offer->isOpen ? "open" : "closed");
        m_board.setOffer(link, *offer);
        m_needsPump = true;
    } else if (const auto *room = std::get_if<AgentRoom>(&message)) {
        m_board.setRoom(link, *room);
        m_needsPump = true;
    } else if (const auto *end = std::get_if<TaskEnded>(&message)) {
        taskEnded(node, *end, now, actions);
    } else if (const auto *forecast = std::get_if<RunForecast>(&message)) {
        takeForecast(node, *forecast, now);
    } else if (const auto *refusal = std::get_if<StartRefused>(&message)) {
        startRefused(node, *refusal, now, actions);
    }
}

void DirectEntryCore::stalled(Instant now, EntryActions &actions)
{
    note(actions, "stalled", m_options.node, "all links are dropped", true);
    std::vector<LinkId> links;
    for (const auto &[node, agent] : m_board.agents()) {
        if (agent.link != 0) {
            links.push_back(agent.link);
        }
    }
    for (const LinkId link : links) {
        actions.emplace_back(CloseLink{ link });
        closeLink(link, now, actions);
    }
}

PlacementWish DirectEntryCore::wishOf(const Job &job, const Task &task) const
{
    const DirectStep &step = job.job.steps[task.step];
    PlacementWish wish{ job.route.service, step.need, step.requiredLabel, step.preferredLabel, task.excluded };
    if (step.maxPerUpstream == 0) {
        return wish;
    }
    std::map<NodeId, std::uint32_t> taken;
    for (const Task &other : job.tasks) {
        const bool isActive = other.phase == TaskPhase::Sent || other.phase == TaskPhase::Stopping || other.phase == TaskPhase::Unproven;
        if (other.step == task.step && isActive && ++taken[other.agent] == step.maxPerUpstream) {
            wish.excluded.push_back(other.agent);
        }
    }
    return wish;
}

std::vector<DirectEntryCore::JobPointer> DirectEntryCore::queue(Instant now)
{
    struct Place
    {
        std::uint32_t priority;
        bool isLate;
        Instant key;
        JobPointer job;
    };
    std::vector<Place> places;
    for (const auto &[id, job] : m_jobs) {
        if (job->waiting > 0) {
            // A job that has started is finished first: its other tasks have taken room already.
            const bool isLate = !job->hasStarted && now + job->chain > job->objective;
            places.push_back(Place{ job->route.priority, isLate, job->hasStarted ? job->arrived - largestHeadStart : job->sortKey, job });
        }
    }
    std::sort(places.begin(), places.end(), [](const Place &left, const Place &right) {
        return std::tie(left.priority, left.isLate, left.key) < std::tie(right.priority, right.isLate, right.key);
    });
    std::vector<JobPointer> ordered;
    ordered.reserve(places.size());
    for (Place &place : places) {
        ordered.push_back(std::move(place.job));
    }
    return ordered;
}

bool DirectEntryCore::placeTasks(const JobPointer &job, Instant now)
{
    for (Task &task : job->tasks) {
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        PlacementWish wish = wishOf(*job, task);
        auto chosen = m_board.choose(wish, now);
        if (!chosen && !task.excluded.empty()) {
            // Rather the same upstream again than none, when every other one is excluded for good.
            const bool isAllExcluded = task.excluded.size() >= m_board.openAgents();
            if (isAllExcluded) {
                task.excluded.clear();
                chosen = m_board.choose(wishOf(*job, task), now);
            }
        }
        if (!chosen) {
            return false;
        }
        const AgentBoard::Agent &agent = *m_board.find(*chosen);
        ++task.run;
        task.phase = TaskPhase::Sent;
        task.agent = *chosen;
        task.link = agent.link;
        task.sentAt = now;
        --job->waiting;
        ++job->active;
        job->work -= task.work;
        job->hasStarted = true;
        m_board.startSent(*chosen, wish.need);
        auto pending = std::find_if(m_pendingStarts.begin(), m_pendingStarts.end(), [&](const PendingStart &other) {
            return other.link == agent.link && other.start.job == job->job.id;
        });
        if (pending == m_pendingStarts.end()) {
            m_pendingStarts.push_back(PendingStart{ agent.link, StartTasks{ job->job.id, job->job.spec, {} } });
            pending = m_pendingStarts.end() - 1;
        }
        pending->start.tasks.push_back(TaskStart{ task.step, task.index, task.run, wish.need, task.checkpoint });
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
    const double capacity = static_cast<double>(m_board.openCapacity(service));
    const double share = expectedUse * capacity / static_cast<double>(m_peers + 1);
    const double kept = std::exp(-static_cast<double>((now - m_doneAt).count()) / static_cast<double>(workRateTime.count()));
    return std::clamp(m_doneWork * kept, share, std::max(share, capacity));
}

void DirectEntryCore::pump(Instant now, EntryActions &actions)
{
    m_needsPump = false;
    const std::vector<JobPointer> ordered = queue(now);
    std::optional<std::uint32_t> blockedPriority;
    for (const JobPointer &job : ordered) {
        if (blockedPriority && job->route.priority > *blockedPriority) {
            break; // nothing less urgent takes the room that a more urgent job waits for
        }
        const bool isOrdinary = job->job.steps.front().requiredLabel.empty();
        if (!placeTasks(job, now) && isOrdinary && !blockedPriority) {
            blockedPriority = job->route.priority;
        }
    }
    flushStarts(actions);
    reviewQueue(ordered, now, actions);
}

void DirectEntryCore::reviewQueue(const std::vector<JobPointer> &ordered, Instant now, EntryActions &actions)
{
    double ahead = 0;
    for (const JobPointer &job : ordered) {
        if (job->waiting == 0 || job->isClosed) {
            continue;
        }
        const double rate = std::max(1.0, workRate(job->route.service, now));
        const bool hasAgents = m_board.openCapacity(job->route.service) > 0;
        const auto wait = hasAgents ? Duration(static_cast<Duration::rep>(ahead / rate)) : Duration(0);
        ahead += job->work;
        if (job->hasStarted) {
            continue;
        }
        const Instant useful = std::min(job->deadline, job->arrived + scaled(job->objective - job->arrived, m_options.usefulFactor));
        if (now + wait + job->chain <= useful) {
            continue;
        }
        ahead -= job->work;
        const Duration backlog = std::max(shortestRetryAfter, wait);
        note(actions,
             "refused",
             job->job.id,
             "overloaded, expected wait " + std::to_string(wait.count() / 1000) + " ms after " + std::to_string((now - job->arrived).count() / 1000) + " ms");
        answer(job, DirectAnswer{ DirectVerdict::NotRun, "overloaded", backlog }, now, actions);
    }
}

void DirectEntryCore::takeForecast(NodeId agent, const RunForecast &forecast, Instant now)
{
    JobPointer job;
    Task *task = findTask(forecast.task, job);
    if (task == nullptr || task->run != forecast.run || task->agent != agent || task->phase != TaskPhase::Sent) {
        return;
    }
    task->isStalled = forecast.isStalled;
    if (forecast.isStalled) {
        task->forecastEnd.reset();
        m_board.suspend(agent, now);
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
        m_board.compare(task.agent, ratio, estimateWeight, now);
        return;
    }
    const auto middle = totals.begin() + static_cast<std::ptrdiff_t>((totals.size() - 1) / 2);
    std::nth_element(totals.begin(), middle, totals.end());
    const Duration usual = *middle;
    m_board.compare(task.agent, static_cast<double>(task.forecastTotal.count()) / static_cast<double>(usual.count()), siblingWeight, now);
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
    const Duration expected = task.isMeasured || task.isStalled ? task.expected : scaled(task.forecastTotal, 1 / std::max(1.0, m_board.slowness(task.agent)));
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
    PlacementWish wish = wishOf(*job, task);
    wish.excluded.push_back(task.agent);
    if (!m_board.choose(wish, now)) {
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
    std::vector<JobPointer> closed;
    for (const auto &[id, job] : m_jobs) {
        for (Task &task : job->tasks) {
            if (task.phase != TaskPhase::Unproven || now < task.provenAt) {
                continue;
            }
            --job->active;
            if (job->isClosed) {
                task.phase = TaskPhase::Dropped;
                closed.push_back(job);
            } else {
                requeue(*job, task);
            }
        }
    }
    for (const JobPointer &job : closed) {
        eraseIfOver(job);
    }
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

DirectAnswer DirectEntryCore::timeIsOver(const Job &job, Instant /*now*/) const
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
        const DirectAnswer last = timeIsOver(*job, now);
        note(actions, "time-over", job->job.id, last.reason + ", " + std::to_string(job->done) + " of " + std::to_string(job->tasks.size()) + " tasks done");
        answer(job, last, now, actions);
    }
}

void DirectEntryCore::elapse(Instant now, EntryActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    if (now >= m_nextReview) {
        m_nextReview = now + reviewInterval;
        std::vector<LinkId> silent;
        for (const auto &[node, agent] : m_board.agents()) {
            if (agent.link != 0 && now - agent.lastBeat > m_options.linkSilence) {
                silent.push_back(agent.link);
            }
        }
        for (const auto &[link, opened] : m_strangers) {
            if (now - opened > greetingTime) {
                silent.push_back(link);
            }
        }
        expire(now, actions);
        reviewRuns(now, actions);
        for (const LinkId link : silent) {
            actions.emplace_back(CloseLink{ link });
            closeLink(link, now, actions);
        }
        m_needsPump = true;
    }
    if (m_needsPump) {
        pump(now, actions);
    }
}

std::optional<Instant> DirectEntryCore::nextWake() const
{
    if (m_jobs.empty()) {
        return m_nextReview + m_options.linkSilence / 4;
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

void DirectEntryCore::note(EntryActions &actions, std::string event, std::string subject, std::string detail, bool isWarning) const
{
    actions.emplace_back(DecisionNote{ std::move(event), std::move(subject), std::move(detail), isWarning });
}

} // namespace lagoonroute
