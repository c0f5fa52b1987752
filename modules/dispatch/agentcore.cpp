#include <lagoonroute/dispatch/agentcore.h>

#include <algorithm>
#include <deque>
#include <type_traits>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Epoch of a shard that has just been created and has no records. */
constexpr Epoch firstEpoch = 1;

/** Whether a message is sent by a mirror or an executor to a shard's home. */
template <typename Message>
constexpr bool isForHome
    = std::is_same_v<
          Message,
          MirrorUpdated> || std::is_same_v<Message, TaskRefused> || std::is_same_v<Message, TaskFinished> || std::is_same_v<Message, TasksWithdrawn> || std::is_same_v<Message, TasksRecovered>;

/** Whether a message is a caller's request to a shard's home. */
template <typename Message>
constexpr bool isRequest = std::is_same_v<Message, SubmitJob> || std::is_same_v<Message, LookUpJob> || std::is_same_v<Message, CancelJob>;

} // namespace

AgentCore::AgentCore(NodeId self, std::uint64_t seed, Incarnation incarnation)
    : m_self(self)
    , m_seed(seed)
    , m_incarnation(incarnation)
    , m_executor(self, incarnation)
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

std::vector<ShardKey> AgentCore::homeShards() const
{
    std::vector<ShardKey> keys;
    keys.reserve(m_homes.size());
    for (const auto &[key, home] : m_homes) {
        keys.push_back(key);
    }
    return keys;
}

const HomeCore *AgentCore::home(const ShardKey &shard) const
{
    const auto found = m_homes.find(shard);
    return found == m_homes.end() ? nullptr : found->second.get();
}

bool AgentCore::isMirrorSynchronised(const ShardKey &shard) const
{
    if (const HomeCore *ownHome = home(shard)) {
        return ownHome->isMirrorSynchronised();
    }
    const auto mirror = m_mirrors.find(shard);
    return mirror != m_mirrors.end() && mirror->second.hasCompleteCopy();
}

bool AgentCore::isDrained() const
{
    return m_executor.isDrained() && std::all_of(m_homes.begin(), m_homes.end(), [](const auto &entry) { return entry.second->unansweredJobCount() == 0; });
}

bool AgentCore::isHome(const ShardView &view) const noexcept
{
    const bool isThisIncarnation = view.homeIncarnation == 0 || m_incarnation == 0 || view.homeIncarnation == m_incarnation;
    return view.home == m_self && isThisIncarnation;
}

bool AgentCore::isMirror(const ShardView &view) const noexcept
{
    const bool isThisIncarnation = view.mirrorIncarnation == 0 || m_incarnation == 0 || view.mirrorIncarnation == m_incarnation;
    return view.mirror == m_self && isThisIncarnation;
}

void AgentCore::route(const AgentEvent &event, Instant now, Actions &actions)
{
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        routeMessage(*received, now, actions);
    } else if (const auto *view = std::get_if<ViewChanged>(&event)) {
        changeView(view->view, now, actions);
    } else if (const auto *proposed = std::get_if<ViewProposed>(&event)) {
        followProposal(proposed->view);
    } else if (const auto *allowed = std::get_if<StartsAllowed>(&event)) {
        m_startsAllowed.insert_or_assign(allowed->shard, *allowed);
        const auto ownHome = m_homes.find(allowed->shard);
        if (ownHome != m_homes.end()) {
            ownHome->second->handle(event, now, actions);
        }
    } else if (const auto *worker = std::get_if<WorkerChanged>(&event)) {
        m_workers[worker->service].insert_or_assign(worker->worker.node, worker->worker);
        forwardToHomes(worker->service, event, now, actions);
    } else if (const auto *gone = std::get_if<WorkerRemoved>(&event)) {
        m_workers[gone->service].erase(gone->node);
        m_removedWorkers[gone->service][gone->node] = gone->incarnation;
        forwardToHomes(gone->service, event, now, actions);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        changeRules(*rules, now, actions);
    } else {
        broadcast(event, now, actions);
    }
}

void AgentCore::routeMessage(const MessageReceived &event, Instant now, Actions &actions)
{
    std::visit(
        [&](const auto &message) {
            using Message = std::decay_t<decltype(message)>;
            if constexpr (isRequest<Message>) {
                routeRequest(event, message.shard, message.epoch, message.request, now, actions);
            } else if constexpr (isForHome<Message>) {
                const auto ownHome = m_homes.find(message.shard);
                if (ownHome != m_homes.end()) {
                    ownHome->second->handle(event, now, actions);
                }
            } else if constexpr (std::is_same_v<Message, UpdateMirror>) {
                updateMirror(event.from, message, now, actions);
            } else {
                m_executor.handle(event, now, actions);
            }
        },
        event.message);
}

void AgentCore::routeRequest(const MessageReceived &event, const ShardKey &shard, Epoch epoch, const RequestId &request, Instant now, Actions &actions)
{
    const auto ownHome = m_homes.find(shard);
    if (ownHome == m_homes.end()) {
        const auto view = m_views.find(shard);
        const auto known = view == m_views.end() ? std::nullopt : std::optional(view->second);
        actions.emplace_back(SendMessage{ event.from, RedirectRequest{ request, shard, known } });
        return;
    }
    if (epoch > ownHome->second->view().epoch) {
        actions.emplace_back(SendMessage{ event.from, RedirectRequest{ request, shard, std::nullopt } });
        return;
    }
    ownHome->second->handle(event, now, actions);
}

void AgentCore::updateMirror(NodeId from, const UpdateMirror &message, Instant now, Actions &actions)
{
    const auto view = m_views.find(message.shard);
    const Epoch knownEpoch = view == m_views.end() ? 0 : view->second.epoch;
    const auto ownHome = m_homes.find(message.shard);
    const bool isOwnEpoch = ownHome != m_homes.end() && ownHome->second->view().epoch >= message.epoch;
    const bool isOtherMirror = knownEpoch == message.epoch && !isMirror(view->second);
    if (message.epoch < knownEpoch || isOwnEpoch || isOtherMirror) {
        actions.emplace_back(SendMessage{ from, MirrorUpdated{ message.shard, message.epoch, 0, false } });
        return;
    }
    // The update proves that a view which this agent has not received yet makes another agent the home.
    closeHome(message.shard, std::nullopt, actions);
    MirrorCore &mirror = m_mirrors.try_emplace(message.shard, message.shard).first->second;
    mirror.refuseBelow(m_proposedEpochs[message.shard]);
    mirror.update(from, message, now, actions);
}

void AgentCore::followProposal(const ShardView &view)
{
    Epoch &proposal = m_proposedEpochs[view.key];
    proposal = std::max(proposal, view.epoch);
    const auto mirror = m_mirrors.find(view.key);
    if (mirror != m_mirrors.end()) {
        mirror->second.refuseBelow(view.epoch);
    }
}

void AgentCore::changeView(const ShardView &view, Instant now, Actions &actions)
{
    ShardView &known = m_views[view.key];
    if (view.epoch <= known.epoch) {
        return;
    }
    known = view;
    m_startsAllowed.erase(view.key);
    m_executor.handle(ViewChanged{ view }, now, actions);
    if (isHome(view)) {
        openHome(view, now, actions);
        return;
    }
    closeHome(view.key, view, actions);
    if (isMirror(view)) {
        m_mirrors.try_emplace(view.key, view.key).first->second.changeView(view);
    } else {
        m_mirrors.erase(view.key);
    }
}

void AgentCore::openHome(const ShardView &view, Instant now, Actions &actions)
{
    const auto ownHome = m_homes.find(view.key);
    if (ownHome != m_homes.end() && view.recordsKept) {
        ownHome->second->handle(ViewChanged{ view }, now, actions);
        return;
    }
    const auto rules = m_rules.find(view.key.service);
    if (rules == m_rules.end() || !mayOpenHome(view)) {
        return;
    }
    closeHome(view.key, view, actions);
    auto opened = std::make_unique<HomeCore>(m_self, view, rules->second, m_seed, takeRecords(view, now), now);
    HomeCore &home = *opened;
    m_homes.insert_or_assign(view.key, std::move(opened));
    if (m_wallOffset) {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch() + *m_wallOffset);
        home.handle(WallClockRead{ WallTime(time) }, now, actions);
    }
    for (const auto &[node, worker] : m_workers[view.key.service]) {
        home.handle(WorkerChanged{ view.key.service, worker }, now, actions);
    }
    for (const auto &[node, incarnation] : m_removedWorkers[view.key.service]) {
        home.handle(WorkerRemoved{ view.key.service, node, incarnation }, now, actions);
    }
    if (m_stopping) {
        home.handle(StopRequested{}, now, actions);
    }
    const auto allowed = m_startsAllowed.find(view.key);
    if (allowed != m_startsAllowed.end()) {
        home.handle(allowed->second, now, actions);
    }
    home.recover(now, actions);
}

bool AgentCore::isPromotable(const ShardView &view) const
{
    const auto mirror = m_mirrors.find(view.key);
    return view.recordsKept && mirror != m_mirrors.end() && mirror->second.mayBePromoted(view.epoch);
}

bool AgentCore::mayOpenHome(const ShardView &view) const
{
    // A view without an incarnation may refer to an earlier one of this process, which may have started tasks under
    // this epoch.
    return !view.recordsKept || view.epoch == firstEpoch || isPromotable(view) || view.homeIncarnation != 0;
}

ShardRecords AgentCore::takeRecords(const ShardView &view, Instant now)
{
    ShardRecords records;
    if (isPromotable(view)) {
        records = m_mirrors.at(view.key).takeRecords();
    } else if (!view.recordsKept || view.epoch != firstEpoch) {
        records.lostAt = now;
    }
    m_mirrors.erase(view.key);
    return records;
}

void AgentCore::closeHome(const ShardKey &shard, const std::optional<ShardView> &view, Actions &actions)
{
    const auto ownHome = m_homes.find(shard);
    if (ownHome == m_homes.end()) {
        return;
    }
    ownHome->second->stepDown(view, actions);
    m_homes.erase(ownHome);
}

void AgentCore::changeRules(const RulesChanged &event, Instant now, Actions &actions)
{
    const std::string &service = event.rules.name();
    m_rules.insert_or_assign(service, event.rules);
    m_executor.handle(event, now, actions);
    forwardToHomes(service, event, now, actions);
    for (const auto &[key, view] : m_views) {
        if (key.service == service && isHome(view) && m_homes.count(key) == 0) {
            openHome(view, now, actions);
        }
    }
}

void AgentCore::forwardToHomes(const std::string &service, const AgentEvent &event, Instant now, Actions &actions)
{
    for (const auto &[key, home] : m_homes) {
        if (key.service == service) {
            home->handle(event, now, actions);
        }
    }
}

void AgentCore::broadcast(const AgentEvent &event, Instant now, Actions &actions)
{
    m_stopping = m_stopping || std::holds_alternative<StopRequested>(event);
    if (const auto *clock = std::get_if<WallClockRead>(&event)) {
        const Duration offset = std::chrono::duration_cast<Duration>(clock->time.time_since_epoch()) - now.time_since_epoch();
        m_wallOffset = m_wallOffset ? std::max(*m_wallOffset, offset) : offset;
    }
    m_executor.handle(event, now, actions);
    for (const auto &[key, home] : m_homes) {
        home->handle(event, now, actions);
    }
}

} // namespace lagoonroute
