#include "corenetwork.h"

#include <algorithm>

namespace lagoonroute::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration detectionTime = milliseconds(400);
constexpr Duration watchInterval = milliseconds(50);
constexpr Duration deadline = seconds(8);
const ShardKey shard{ "booking", 0 };

JobId jobId(std::size_t job)
{
    return JobId::fromSubmission("booking", "fatou", std::to_string(job));
}

std::string resultOf(const TaskId &task)
{
    return task.job.toString() + "/" + std::to_string(task.index);
}

ServiceRules rules()
{
    return ServiceRules::Builder("booking").build();
}

} // namespace

struct CoreNetwork::Node
{
    NodeId id;
    Incarnation incarnation = 1;
    bool alive = true;
    Instant downSince;
    Instant pausedUntil;
    Epoch proposed = 0;
    std::unique_ptr<AgentCore> agent;
    std::unique_ptr<EntryCore> entry;
};

CoreNetwork::CoreNetwork(std::size_t entries, std::size_t agents, std::uint64_t seed, NetworkFaults faults)
    : m_random(seed)
    , m_faults(faults)
    , m_nextWatch(m_now)
{
    const auto add = [this](std::vector<std::unique_ptr<Node>> &list, const std::string &name) -> Node & {
        list.push_back(std::make_unique<Node>());
        list.back()->id = NodeId::fromName(name);
        m_nodes[list.back()->id] = list.back().get();
        return *list.back();
    };
    for (std::size_t index = 0; index < agents; ++index) {
        Node &node = add(m_agents, "agent" + std::to_string(index));
        node.agent = std::make_unique<AgentCore>(node.id, seed + index, node.incarnation);
    }
    m_view = ShardView{ shard, 1, m_agents.at(0)->id, m_agents.at(1)->id, true, 1, 1 };
    for (const auto &node : m_agents) {
        announce(*node);
        handle(*node, AgentEvent(ViewChanged{ m_view }));
    }
    for (std::size_t index = 0; index < entries; ++index) {
        Node &node = add(m_entries, "entry" + std::to_string(index));
        node.entry = std::make_unique<EntryCore>(node.id, node.incarnation, seed);
        handle(node, EntryEvent(RulesChanged{ rules() }));
        handle(node, EntryEvent(ViewChanged{ m_view }));
    }
}

CoreNetwork::~CoreNetwork() = default;

void CoreNetwork::announce(Node &node)
{
    handle(node, AgentEvent(RulesChanged{ rules() }));
    handle(node, AgentEvent(UpstreamAnnounced{ "booking", 2, 8, {} }));
    for (const auto &other : m_agents) {
        if (other->alive) {
            handle(node,
                   AgentEvent(WorkerChanged{ "booking", WorkerState{ .node = other->id, .incarnation = other->incarnation, .slots = 2, .connections = 8 } }));
        }
    }
}

std::uint64_t CoreNetwork::newRequest(std::size_t job, std::size_t entry, bool isSubmission)
{
    const std::uint64_t request = m_requests.size() + 1;
    m_jobs[jobId(job)] = job;
    m_requests[request] = Request{ job, m_entries.at(entry)->id, {}, !m_entries.at(entry)->alive, isSubmission };
    return request;
}

void CoreNetwork::submit(std::size_t job, std::size_t entry)
{
    CallerSubmitted event{ .request = newRequest(job, entry, true), .job = jobId(job) };
    event.content.service = "booking";
    event.content.caller = "fatou";
    event.content.bodyDigest = Digest::of(std::to_string(job));
    event.content.timeRemaining = deadline;
    event.content.tasks.resize(tasksOf(job));
    handle(*m_entries.at(entry), EntryEvent(event));
}

void CoreNetwork::cancel(std::size_t job, std::size_t entry)
{
    handle(*m_entries.at(entry), EntryEvent(CallerCancelled{ .request = newRequest(job, entry, false), .service = "booking", .job = jobId(job) }));
}

void CoreNetwork::lookUp(std::size_t job, std::size_t entry)
{
    handle(*m_entries.at(entry), EntryEvent(CallerLookedUp{ .request = newRequest(job, entry, false), .service = "booking", .job = jobId(job) }));
}

void CoreNetwork::crashEntry(std::size_t entry)
{
    m_entries.at(entry)->alive = false;
    for (auto &[number, request] : m_requests) {
        request.abandoned = request.abandoned || (request.entry == m_entries.at(entry)->id && request.answers.empty());
    }
}

void CoreNetwork::crash(std::size_t agent)
{
    Node &node = *m_agents.at(agent);
    if (!node.alive) {
        return;
    }
    node.alive = false;
    node.downSince = m_now;
    for (const auto &other : m_agents) {
        after(detectionTime + between(0, 100'000), other->id, 0, AgentEvent(WorkerRemoved{ "booking", node.id, node.incarnation }));
    }
}

void CoreNetwork::restart(std::size_t agent)
{
    Node &node = *m_agents.at(agent);
    if (node.alive) {
        return;
    }
    node.alive = true;
    node.pausedUntil = m_now;
    node.proposed = 0;
    ++node.incarnation;
    node.agent = std::make_unique<AgentCore>(node.id, node.incarnation, node.incarnation);
    announce(node);
    handle(node, AgentEvent(ViewChanged{ m_view }));
    broadcastToAgents(WorkerChanged{ "booking", WorkerState{ .node = node.id, .incarnation = node.incarnation, .slots = 2, .connections = 8 } });
}

void CoreNetwork::pause(std::size_t agent, Duration time)
{
    Node &node = *m_agents.at(agent);
    node.downSince = m_now;
    node.pausedUntil = m_now + time;
}

void CoreNetwork::stop(std::size_t agent)
{
    Node &node = *m_agents.at(agent);
    broadcastToAgents(
        WorkerChanged{ "booking", WorkerState{ .node = node.id, .incarnation = node.incarnation, .slots = 2, .connections = 8, .leaving = true } });
    handle(node, AgentEvent(StopRequested{}));
}

void CoreNetwork::run(Duration time)
{
    constexpr int maxIterations = 1'000'000;
    const Instant end = m_now + time;
    for (int iteration = 0;; ++iteration) {
        if (iteration == maxIterations) {
            addViolation("the cores keep requesting wake-ups without progress");
            return;
        }
        Instant next = std::min(end, m_nextWatch);
        if (!m_queue.empty()) {
            next = std::min(next, m_queue.begin()->first);
        }
        for (const auto &[id, node] : m_nodes) {
            const auto wake = node->agent ? node->agent->nextWake() : node->entry->nextWake();
            if (node->alive && wake) {
                next = std::min(next, std::max(*wake, node->pausedUntil));
            }
        }
        m_now = std::max(m_now, next);
        if (m_now >= end) {
            return;
        }
        while (!m_queue.empty() && m_queue.begin()->first <= m_now) {
            const Delivery delivery = m_queue.extract(m_queue.begin()).mapped();
            deliver(delivery);
        }
        for (const auto &[id, node] : m_nodes) {
            const auto wake = node->agent ? node->agent->nextWake() : node->entry->nextWake();
            if (node->alive && wake && *wake <= m_now && node->pausedUntil <= m_now) {
                handle(*node, node->agent ? AnyEvent(AgentEvent(TimeElapsed{})) : AnyEvent(EntryEvent(TimeElapsed{})));
            }
        }
        if (m_now >= m_nextWatch) {
            m_nextWatch = m_now + watchInterval;
            watchViews();
        }
    }
}

void CoreNetwork::deliver(const Delivery &delivery)
{
    Node &node = *m_nodes.at(delivery.to);
    if (!node.alive || (delivery.incarnation != 0 && delivery.incarnation != node.incarnation)) {
        return;
    }
    if (node.pausedUntil > m_now) {
        m_queue.emplace(node.pausedUntil, delivery);
        return;
    }
    handle(node, delivery.event);
}

void CoreNetwork::handle(Node &node, const AnyEvent &event)
{
    if (!node.alive) {
        return;
    }
    if (node.entry) {
        std::vector<EntryAction> actions;
        node.entry->handle(std::get<EntryEvent>(event), m_now, actions);
        for (const EntryAction &action : actions) {
            perform(node, action);
        }
        return;
    }
    std::vector<AgentAction> actions;
    const auto &agentEvent = std::get<AgentEvent>(event);
    if (const auto *proposed = std::get_if<ViewProposed>(&agentEvent)) {
        node.proposed = std::max(node.proposed, proposed->view.epoch);
    }
    node.agent->handle(agentEvent, m_now, actions);
    for (const AgentAction &action : actions) {
        perform(node, action);
    }
}

void CoreNetwork::perform(Node &node, const AgentAction &action)
{
    if (const auto *message = std::get_if<SendMessage>(&action)) {
        const auto *updated = std::get_if<MirrorUpdated>(&message->message);
        if (updated != nullptr && updated->accepted && updated->epoch < node.proposed) {
            addViolation("an old epoch was acknowledged after a promotion was proposed");
        }
        send(node, *message);
    } else if (const auto *upstreamCall = std::get_if<CallUpstream>(&action)) {
        call(node, *upstreamCall);
    }
}

void CoreNetwork::perform(Node &node, const EntryAction &action)
{
    if (const auto *message = std::get_if<SendMessage>(&action)) {
        send(node, *message);
        return;
    }
    const auto &answered = std::get<AnswerCaller>(action);
    Request &request = m_requests.at(answered.request);
    request.answers.push_back(answered.answer);
    m_answers[request.job].push_back(answered.answer);
    if (answered.answer.outcome != Outcome::Complete) {
        return;
    }
    if (answered.answer.results.size() != tasksOf(request.job)) {
        addViolation("a complete answer has the wrong number of results");
    }
    for (TaskIndex index = 0; index < answered.answer.results.size(); ++index) {
        if (answered.answer.results[index].body != resultOf({ answered.job, index })) {
            addViolation("a result belongs to another task");
        }
    }
}

void CoreNetwork::send(Node &from, const SendMessage &action)
{
    const auto target = m_nodes.find(action.to);
    if (target == m_nodes.end()) {
        return;
    }
    const auto wrap = [](const Node &node, auto event) { return node.agent ? AnyEvent(AgentEvent(event)) : AnyEvent(EntryEvent(event)); };
    if (!target->second->alive || chance(m_faults.lossPercent)) {
        after(between(500, 20'000), from.id, from.incarnation, wrap(from, ConnectionLost{ action.to }));
        after(between(500, 20'000), action.to, 0, wrap(*target->second, ConnectionLost{ from.id }));
        return;
    }
    const int copies = chance(m_faults.duplicationPercent) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const Duration delay = chance(m_faults.delayPercent) ? between(1'000, 500'000) : between(200, 1'500);
        after(delay, action.to, 0, wrap(*target->second, MessageReceived{ from.id, action.message }));
    }
}

void CoreNetwork::call(Node &node, const CallUpstream &action)
{
    if (chance(m_faults.upstreamUnreachablePercent)) {
        after(between(100, 1'000), node.id, node.incarnation, AgentEvent(UpstreamCallBroken{ action.task, false, Reason::UpstreamError, {} }));
        return;
    }
    if (++m_starts[action.task] > 1) {
        addViolation("a task started twice");
    }
    const Duration runTime = between(20'000, 400'000);
    const TaskResult result{ static_cast<std::uint16_t>(chance(m_faults.upstreamFailurePercent) ? 500 : 200), resultOf(action.task) };
    after(runTime, node.id, node.incarnation, AgentEvent(UpstreamReplied{ action.task, result, runTime }));
}

void CoreNetwork::after(Duration delay, NodeId to, Incarnation incarnation, AnyEvent event)
{
    m_queue.emplace(m_now + delay, Delivery{ to, incarnation, std::move(event) });
}

void CoreNetwork::broadcastToAgents(const AgentEvent &event)
{
    for (const auto &node : m_agents) {
        after(between(1'000, 100'000), node->id, 0, event);
    }
}

bool CoreNetwork::isDown(const Node &node) const
{
    const bool isUnavailable = !node.alive || node.pausedUntil > m_now;
    return isUnavailable && m_now - node.downSince >= detectionTime;
}

NodeId CoreNetwork::spareAgent(NodeId excluded)
{
    std::vector<NodeId> candidates;
    for (const auto &node : m_agents) {
        if (node->alive && node->pausedUntil <= m_now && node->id != excluded) {
            candidates.push_back(node->id);
        }
    }
    return candidates.empty() ? NodeId{} : candidates.at(m_random() % candidates.size());
}

void CoreNetwork::watchViews()
{
    Node &home = *m_nodes.at(m_view.home);
    Node *mirror = m_view.mirror.isValid() ? m_nodes.at(m_view.mirror) : nullptr;
    const bool homeDown = isDown(home) || home.incarnation != m_view.homeIncarnation;
    const bool mirrorDown = mirror == nullptr || isDown(*mirror) || mirror->incarnation != m_view.mirrorIncarnation;
    ShardView next{ shard, m_view.epoch + 1, m_view.home, m_view.mirror };
    if (homeDown && !mirrorDown && mirror->agent->isMirrorSynchronised(shard)) {
        next.home = m_view.mirror;
        next.mirror = spareAgent(next.home);
        replaceView(next, true);
    } else if (homeDown) {
        next.home = spareAgent({});
        next.mirror = next.home.isValid() ? spareAgent(next.home) : NodeId{};
        next.recordsKept = false;
        if (next.home.isValid()) {
            replaceView(next, false);
        }
    } else if (mirrorDown && spareAgent(next.home).isValid()) {
        next.mirror = spareAgent(next.home);
        replaceView(next, false);
    }
}

void CoreNetwork::replaceView(ShardView next, bool promotes)
{
    next.homeIncarnation = m_nodes.at(next.home)->incarnation;
    next.mirrorIncarnation = next.mirror.isValid() ? m_nodes.at(next.mirror)->incarnation : 0;
    if (promotes) {
        handle(*m_nodes.at(next.home), AgentEvent(ViewProposed{ next }));
    }
    m_view = next;
    for (const auto &[id, node] : m_nodes) {
        const AnyEvent event = node->agent ? AnyEvent(AgentEvent(ViewChanged{ next })) : AnyEvent(EntryEvent(ViewChanged{ next }));
        after(between(1'000, 150'000), id, 0, event);
    }
}

std::size_t CoreNetwork::agentIndex(NodeId node) const
{
    const auto found = std::find_if(m_agents.begin(), m_agents.end(), [node](const auto &agent) { return agent->id == node; });
    return static_cast<std::size_t>(found - m_agents.begin());
}

AgentCore &CoreNetwork::core(std::size_t agent)
{
    return *m_agents.at(agent)->agent;
}

const std::vector<JobAnswer> &CoreNetwork::answers(std::size_t job)
{
    return m_answers[job];
}

std::size_t CoreNetwork::starts(std::size_t job) const
{
    std::size_t count = 0;
    for (const auto &[task, times] : m_starts) {
        count += task.job == jobId(job) ? static_cast<std::size_t>(times) : 0;
    }
    return count;
}

std::vector<std::string> CoreNetwork::violations()
{
    std::map<std::size_t, bool> onlyNotRun;
    for (const auto &[number, request] : m_requests) {
        if (!request.abandoned && request.answers.size() != 1) {
            addViolation("request " + std::to_string(number) + " of job " + std::to_string(request.job) + " has " + std::to_string(request.answers.size())
                         + " answers");
        }
        bool &all = onlyNotRun.try_emplace(request.job, true).first->second;
        all = all && !request.answers.empty() && request.answers.front().outcome == Outcome::NotRun;
    }
    for (const auto &[job, all] : onlyNotRun) {
        if (all && starts(job) > 0) {
            addViolation("job " + std::to_string(job) + " was answered as not run and has started");
        }
    }
    return { m_violations.begin(), m_violations.end() };
}

void CoreNetwork::addViolation(const std::string &text)
{
    m_violations.insert(text);
}

bool CoreNetwork::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

Duration CoreNetwork::between(int fromMicros, int toMicros)
{
    return Duration(fromMicros + static_cast<int>(m_random() % static_cast<std::uint64_t>(toMicros - fromMicros + 1)));
}

} // namespace lagoonroute::test
