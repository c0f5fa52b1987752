#include <lagoonroute/dispatch/agentcore.h>

#include <deque>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Returns the shard that a message is about, or nothing for messages to the executor or an entry. */
const ShardKey *homeShardOf(const DispatchMessage &message)
{
    if (const auto *submit = std::get_if<SubmitJob>(&message)) {
        return &submit->shard;
    }
    if (const auto *finished = std::get_if<TaskFinished>(&message)) {
        return &finished->shard;
    }
    if (const auto *refused = std::get_if<TaskRefused>(&message)) {
        return &refused->shard;
    }
    return nullptr;
}

} // namespace

AgentCore::AgentCore(NodeId self, std::uint64_t seed)
    : m_self(self)
    , m_seed(seed)
    , m_executor(self)
{
}

void AgentCore::handle(const AgentEvent &event, Instant now, Actions &actions)
{
    Actions produced;
    route(event, now, produced);
    std::deque<AgentAction> pending(std::make_move_iterator(produced.begin()), std::make_move_iterator(produced.end()));
    while (!pending.empty()) {
        AgentAction action = std::move(pending.front());
        pending.pop_front();
        auto *send = std::get_if<SendMessage>(&action);
        if (send == nullptr || send->to != m_self) {
            actions.push_back(std::move(action));
            continue;
        }
        produced.clear();
        route(MessageReceived{ m_self, std::move(send->message) }, now, produced);
        for (AgentAction &next : produced) {
            pending.push_back(std::move(next));
        }
    }
}

std::optional<Instant> AgentCore::nextWake() const
{
    std::optional<Instant> earliest = m_executor.nextWake();
    for (const auto &[key, home] : m_homes) {
        const auto wake = home->nextWake();
        if (wake && (!earliest || *wake < *earliest)) {
            earliest = wake;
        }
    }
    return earliest;
}

void AgentCore::route(const AgentEvent &event, Instant now, Actions &actions)
{
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        routeMessage(*received, now, actions);
    } else if (const auto *view = std::get_if<ViewChanged>(&event)) {
        changeView(view->view, now, actions);
    } else if (const auto *worker = std::get_if<WorkerChanged>(&event)) {
        changeWorker(*worker, now, actions);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_rules.insert_or_assign(rules->rules.name(), rules->rules);
        for (const auto &[key, home] : m_homes) {
            if (key.service == rules->rules.name()) {
                home->handle(event, now, actions);
            }
        }
    } else if (const auto *gone = std::get_if<WorkerGone>(&event)) {
        m_workers[gone->service].erase(gone->node);
        for (const auto &[key, home] : m_homes) {
            if (key.service == gone->service) {
                home->handle(event, now, actions);
            }
        }
    } else {
        broadcast(event, now, actions);
    }
}

void AgentCore::routeMessage(const MessageReceived &event, Instant now, Actions &actions)
{
    const ShardKey *shard = homeShardOf(event.message);
    if (shard == nullptr) {
        m_executor.handle(event, now, actions);
        return;
    }
    const auto home = m_homes.find(*shard);
    if (home != m_homes.end()) {
        home->second->handle(event, now, actions);
    }
}

void AgentCore::changeView(const ShardView &view, Instant now, Actions &actions)
{
    ShardView &known = m_views[view.key];
    if (view.epoch <= known.epoch) {
        return;
    }
    known = view;
    m_homes.erase(view.key);
    const auto rules = m_rules.find(view.key.service);
    if (view.home != m_self || rules == m_rules.end()) {
        return;
    }
    const auto &home = m_homes.emplace(view.key, std::make_unique<HomeCore>(m_self, view, rules->second, m_seed)).first->second;
    for (const auto &[node, worker] : m_workers[view.key.service]) {
        home->handle(WorkerChanged{ view.key.service, worker }, now, actions);
    }
}

void AgentCore::changeWorker(const WorkerChanged &event, Instant now, Actions &actions)
{
    m_workers[event.service].insert_or_assign(event.worker.node, event.worker);
    for (const auto &[key, home] : m_homes) {
        if (key.service == event.service) {
            home->handle(event, now, actions);
        }
    }
}

void AgentCore::broadcast(const AgentEvent &event, Instant now, Actions &actions)
{
    m_executor.handle(event, now, actions);
    for (const auto &[key, home] : m_homes) {
        home->handle(event, now, actions);
    }
}

} // namespace lagoonroute
