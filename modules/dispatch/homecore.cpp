#include "homeimplementation.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Gap between events after which the mirror must confirm that this home has not been replaced. */
constexpr Duration pauseThreshold = std::chrono::seconds(1);
constexpr Duration reconnectDelay = std::chrono::milliseconds(20);

void takeEarlier(std::optional<Instant> &earliest, std::optional<Instant> candidate)
{
    if (candidate && (!earliest || *candidate < *earliest)) {
        earliest = candidate;
    }
}

} // namespace

HomeCore::Limits &HomeCore::Limits::withRecords(std::size_t count)
{
    records = count;
    return *this;
}

HomeCore::Limits &HomeCore::Limits::withBytes(std::size_t count)
{
    bytes = count;
    return *this;
}

HomeCore::HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed)
    : HomeCore(self, view, std::move(rules), seed, ShardRecords{}, Instant{})
{
}

HomeCore::HomeCore(NodeId self, const ShardView &view, ServiceRules rules, std::uint64_t seed, ShardRecords &&records, Instant now)
    : m_implementation(std::make_unique<Implementation>(self, view, std::move(rules), seed, now))
{
    m_implementation->load(records, now);
    m_implementation->changeView(view, now);
}

HomeCore::~HomeCore() = default;

void HomeCore::setLimits(const Limits &limits)
{
    m_implementation->limits = limits;
}

void HomeCore::recover(Instant now, std::vector<AgentAction> &actions)
{
    m_implementation->recover(now, actions);
}

void HomeCore::handle(const AgentEvent &event, Instant now, std::vector<AgentAction> &actions)
{
    m_implementation->handle(event, now, actions);
}

void HomeCore::stepDown(const std::optional<ShardView> &view, std::vector<AgentAction> &actions)
{
    m_implementation->stepDown(view, actions);
}

std::optional<Instant> HomeCore::nextWake() const
{
    return m_implementation->nextWake();
}

const ShardView &HomeCore::view() const noexcept
{
    return m_implementation->view;
}

std::size_t HomeCore::jobCount() const noexcept
{
    return m_implementation->jobs.size();
}

std::size_t HomeCore::unansweredJobCount() const noexcept
{
    return m_implementation->unanswered;
}

bool HomeCore::isMirrorSynchronised() const noexcept
{
    return m_implementation->link.isSynchronised();
}

HomeCore::Implementation::Implementation(NodeId self, ShardView initialView, ServiceRules rules, std::uint64_t seed, Instant now)
    : view(std::move(initialView))
    , m_self(self)
    , m_rules(rules)
    , m_scheduler(std::move(rules), seed)
    , m_lastEventAt(now)
{
    m_scheduler.setHome(self);
}

void HomeCore::Implementation::handle(const AgentEvent &event, Instant now, Actions &actions)
{
    detectPause(now);
    handleTimers(now);
    dispatch(event, now, actions);
    finishEvent(now, actions);
}

void HomeCore::Implementation::dispatch(const AgentEvent &event, Instant now, Actions &actions)
{
    if (const auto *received = std::get_if<MessageReceived>(&event)) {
        receive(received->from, received->message, now, actions);
    } else if (const auto *changed = std::get_if<WorkerChanged>(&event)) {
        changeWorker(changed->worker, now);
    } else if (const auto *gone = std::get_if<WorkerRemoved>(&event)) {
        loseWorker(gone->node, gone->incarnation, now);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_rules = rules->rules;
        m_scheduler.setRules(rules->rules);
    } else if (const auto *allowed = std::get_if<StartsAllowed>(&event)) {
        m_startsAllowed = *allowed;
    } else if (const auto *changedView = std::get_if<ViewChanged>(&event)) {
        changeView(changedView->view, now);
    } else if (const auto *lost = std::get_if<ConnectionLost>(&event)) {
        if (lost->peer == link.mirror()) {
            link.loseConnection(now);
        }
        if (m_tasksOfWorker.count(lost->peer) > 0) {
            m_reconnects.try_emplace(lost->peer, now + reconnectDelay);
        }
    } else if (const auto *clock = std::get_if<WallClockRead>(&event)) {
        const Duration offset = std::chrono::duration_cast<Duration>(clock->time.time_since_epoch()) - now.time_since_epoch();
        m_wallOffset = m_wallOffset ? std::max(*m_wallOffset, offset) : offset;
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_stopping = true;
    }
    for (auto reconnect = m_reconnects.begin(); reconnect != m_reconnects.end();) {
        if (reconnect->second > now) {
            ++reconnect;
            continue;
        }
        resendToWorker(reconnect->first, true, now, actions);
        reconnect = m_reconnects.erase(reconnect);
    }
    if (m_resendAt && *m_resendAt <= now) {
        resendQueries(now, actions);
    }
}

void HomeCore::Implementation::receive(NodeId from, const DispatchMessage &message, Instant now, Actions &actions)
{
    if (const auto *submitted = std::get_if<SubmitJob>(&message)) {
        submit(*submitted, now, actions);
    } else if (const auto *lookedUp = std::get_if<LookUpJob>(&message)) {
        lookUp(*lookedUp, now, actions);
    } else if (const auto *cancelled = std::get_if<CancelJob>(&message)) {
        cancel(*cancelled, now, actions);
    } else if (const auto *updated = std::get_if<MirrorUpdated>(&message)) {
        link.receive(*updated, now);
    } else if (const auto *finished = std::get_if<TaskFinished>(&message)) {
        finishTask(from, *finished, now);
    } else if (const auto *refused = std::get_if<TaskRefused>(&message)) {
        refuseTask(from, *refused, now);
    } else if (const auto *withdrawal = std::get_if<TasksWithdrawn>(&message)) {
        handleWithdrawn(from, *withdrawal, now);
    } else if (const auto *recovery = std::get_if<TasksRecovered>(&message)) {
        handleRecovered(from, *recovery, now);
    }
}

void HomeCore::Implementation::detectPause(Instant now)
{
    const bool wasPaused = now - m_lastEventAt > pauseThreshold;
    m_lastEventAt = now;
    if (wasPaused) {
        m_probe = link.append(MirrorProbe{});
    }
}

void HomeCore::Implementation::handleTimers(Instant now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const JobId id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        JobRecord &record = jobs.at(id);
        withdrawRemaining(id, *record.active, Reason::DeadlineTooShort, true, now);
        answerIfSettled(id, record);
    }
    expireRecords(now);
    m_refusals.expire(now);
    resumeWorkers(now);
}

void HomeCore::Implementation::finishEvent(Instant now, Actions &actions)
{
    for (const TaskId &expired : m_scheduler.takeExpired(now)) {
        JobRecord &record = jobs.at(expired.job);
        withdrawRemaining(expired.job, *record.active, Reason::DeadlineTooShort, false, now);
        answerIfSettled(expired.job, record);
    }
    continueTransfer(now);
    place(now);
    link.send(now, actions);
    releaseStarts(now, actions);
    releaseAnswers(now, actions);
    m_messages.send(view, now, actions);
}

bool HomeCore::Implementation::maySubmit(Instant now) const
{
    return link.hasMirror() || mayStart(now);
}

bool HomeCore::Implementation::mayStart(Instant now) const
{
    const bool isAllowed = m_startsAllowed && m_startsAllowed->allowed && (!m_startsAllowed->until || now < *m_startsAllowed->until);
    if (link.hasMirror()) {
        const bool isRevoked = m_startsAllowed && !isAllowed;
        return !isRevoked && link.isAcknowledged(m_probe);
    }
    return isAllowed;
}

std::optional<Instant> HomeCore::Implementation::nextWake() const
{
    // Anything in the scheduler that was already due at the last event waits for an event other than time, such as an
    // acknowledgement of the mirror.
    std::optional<Instant> earliest = m_scheduler.nextWake();
    if (earliest && *earliest <= m_lastEventAt) {
        earliest.reset();
    }
    takeEarlier(earliest, link.nextWake());
    takeEarlier(earliest, m_messages.nextWake());
    takeEarlier(earliest, m_resendAt);
    if (!m_deadlines.empty()) {
        takeEarlier(earliest, m_deadlines.begin()->first);
    }
    for (const auto &[worker, at] : m_reconnects) {
        takeEarlier(earliest, at);
    }
    for (const auto &[worker, until] : m_suspended) {
        takeEarlier(earliest, until);
    }
    return earliest;
}

} // namespace lagoonroute
