#include <lagoonroute/dispatch/entrycore.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::size_t maxPendingRequests = 50'000;
constexpr std::size_t maxPendingBytes = 64U << 20U;

/** Time limit for the first view of a request's shard to arrive. */
constexpr Duration viewTimeout = std::chrono::seconds(3);

/** Time after the caller's deadline within which the home's answer can still arrive. */
constexpr Duration answerTimeoutMargin = std::chrono::seconds(5);

constexpr Duration initialResendDelay = std::chrono::seconds(5);
constexpr Duration maxResendDelay = std::chrono::seconds(30);
constexpr Duration initialRedirectDelay = std::chrono::milliseconds(50);
constexpr Duration maxRedirectDelay = std::chrono::seconds(2);
constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
constexpr Duration retryAfterRefusal = std::chrono::seconds(1);

} // namespace

EntryCore::EntryCore(NodeId self, Incarnation incarnation, std::uint64_t seed)
    : m_self(self)
    , m_incarnation(incarnation)
    , m_random(seed ^ self.value)
{
}

void EntryCore::handle(const EntryEvent &event, Instant now, Actions &actions)
{
    if (const auto *submitted = std::get_if<CallerSubmitted>(&event)) {
        submit(*submitted, now, actions);
    } else if (const auto *lookedUp = std::get_if<CallerLookedUp>(&event)) {
        query(RequestKind::LookUp, lookedUp->request, lookedUp->service, lookedUp->job, now, actions);
    } else if (const auto *cancelled = std::get_if<CallerCancelled>(&event)) {
        query(RequestKind::Cancel, cancelled->request, cancelled->service, cancelled->job, now, actions);
    } else if (const auto *received = std::get_if<MessageReceived>(&event)) {
        receive(received->message, now, actions);
    } else if (const auto *changed = std::get_if<ViewChanged>(&event)) {
        changeView(changed->view, now, actions);
    } else if (const auto *lost = std::get_if<ConnectionLost>(&event)) {
        loseConnection(lost->peer, now);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_rules.insert_or_assign(rules->rules.name(), rules->rules);
    } else if (const auto *left = std::get_if<CallerLeft>(&event)) {
        erase(left->request);
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_stopping = true;
    }
    handleTimers(now, actions);
}

std::optional<Instant> EntryCore::nextWake() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

void EntryCore::submit(const CallerSubmitted &event, Instant now, Actions &actions)
{
    const auto refuse = [&](Reason reason, std::string detail, std::optional<Duration> retryAfter = std::nullopt) {
        actions.emplace_back(AnswerCaller{ event.request, event.job, JobAnswer::notRun(reason, std::move(detail), retryAfter) });
    };
    const auto rules = m_rules.find(event.content.service);
    if (m_stopping) {
        refuse(Reason::ShuttingDown, "this entry is stopping", Duration{ 0 });
        return;
    }
    if (rules == m_rules.end()) {
        refuse(Reason::UnknownService, "service \"" + event.content.service + "\" is not defined");
        return;
    }
    std::size_t bytes = 0;
    for (const TaskSpec &task : event.content.tasks) {
        bytes += task.body.size();
    }
    if (m_pending.size() >= maxPendingRequests || m_bytes + bytes > maxPendingBytes) {
        refuse(Reason::Overloaded, "this entry has too many requests without an answer", retryAfterRefusal);
        return;
    }
    const bool hasDeadline = event.content.timeRemaining > Duration::zero();
    const Duration allowed = hasDeadline ? event.content.timeRemaining : rules->second.defaultDeadline();
    PendingRequest pending{ .shard = { event.content.service, 0 }, .job = event.job, .content = event.content, .bytes = bytes };
    pending.deadline = now + std::min(allowed, rules->second.largestDeadline());
    open(event.request, std::move(pending), now, actions);
}

void EntryCore::query(RequestKind kind, std::uint64_t request, const std::string &service, const JobId &job, Instant now, Actions &actions)
{
    const auto rules = m_rules.find(service);
    if (rules == m_rules.end() || m_pending.size() >= maxPendingRequests) {
        const Reason reason = rules == m_rules.end() ? Reason::UnknownService : Reason::Overloaded;
        JobAnswer answer{ .outcome = Outcome::Failed, .reason = reason, .detail = "this entry cannot query the job" };
        actions.emplace_back(AnswerCaller{ request, job, std::move(answer) });
        return;
    }
    PendingRequest pending{ .kind = kind, .shard = { service, 0 }, .job = job };
    pending.deadline = now + rules->second.defaultDeadline();
    open(request, std::move(pending), now, actions);
}

void EntryCore::open(std::uint64_t request, PendingRequest pending, Instant now, Actions &actions)
{
    const bool hasView = m_views.count(pending.shard) > 0;
    pending.giveUpAt = hasView ? pending.deadline + answerTimeoutMargin : std::min(pending.deadline, now + viewTimeout);
    pending.resendDelay = initialResendDelay;
    pending.redirectDelay = initialRedirectDelay;
    m_bytes += pending.bytes;
    PendingRequest &opened = m_pending.insert_or_assign(request, std::move(pending)).first->second;
    setWake(request, opened, opened.giveUpAt);
    send(request, opened, now, actions);
}

void EntryCore::send(std::uint64_t request, PendingRequest &pending, Instant now, Actions &actions)
{
    const auto found = m_views.find(pending.shard);
    if (found == m_views.end()) {
        return;
    }
    const ShardView &view = found->second;
    const RequestId id{ m_self, m_incarnation, request };
    pending.sentEpoch = view.epoch;
    pending.sentTo = view.home;
    pending.giveUpAt = pending.deadline + answerTimeoutMargin;
    setWake(request, pending, std::min(pending.giveUpAt, now + jittered(pending.resendDelay)));
    if (pending.kind == RequestKind::LookUp) {
        actions.emplace_back(SendMessage{ view.home, LookUpJob{ id, pending.shard, view.epoch, pending.job } });
        return;
    }
    if (pending.kind == RequestKind::Cancel) {
        actions.emplace_back(SendMessage{ view.home, CancelJob{ id, pending.shard, view.epoch, pending.job } });
        return;
    }
    SubmitJob message{ id, pending.shard, view.epoch, pending.job, *pending.content };
    message.content.timeRemaining = std::max(Duration::zero(), pending.deadline - now);
    actions.emplace_back(SendMessage{ view.home, std::move(message) });
}

void EntryCore::receive(const DispatchMessage &message, Instant now, Actions &actions)
{
    if (const auto *answer = std::get_if<AnswerRequest>(&message)) {
        finish(*answer, actions);
    } else if (const auto *redirected = std::get_if<RedirectRequest>(&message)) {
        redirect(*redirected, now, actions);
    }
}

void EntryCore::finish(const AnswerRequest &message, Actions &actions)
{
    const bool isOwn = message.request.entry == m_self && message.request.incarnation == m_incarnation;
    const auto found = m_pending.find(message.request.sequence);
    if (!isOwn || found == m_pending.end() || found->second.job != message.job) {
        return;
    }
    // "Not run" from an earlier home does not cover the current home, to which the request was sent later.
    const bool isOutdated = message.answer.outcome == Outcome::NotRun && message.epoch < found->second.sentEpoch;
    if (isOutdated) {
        return;
    }
    actions.emplace_back(AnswerCaller{ message.request.sequence, message.job, message.answer });
    erase(message.request.sequence);
}

void EntryCore::redirect(const RedirectRequest &message, Instant now, Actions &actions)
{
    const auto known = m_views.find(message.shard);
    const Epoch knownEpoch = known == m_views.end() ? 0 : known->second.epoch;
    if (message.view && message.view->epoch > knownEpoch) {
        changeView(*message.view, now, actions);
        return;
    }
    const bool isOwn = message.request.entry == m_self && message.request.incarnation == m_incarnation;
    const auto found = m_pending.find(message.request.sequence);
    const bool isOutdated = message.view && message.view->epoch < knownEpoch && found != m_pending.end() && found->second.sentEpoch != knownEpoch;
    if (!isOwn || found == m_pending.end() || isOutdated) {
        return;
    }
    PendingRequest &pending = found->second;
    const Duration delay = std::exchange(pending.redirectDelay, std::min(pending.redirectDelay * 2, maxRedirectDelay));
    setWake(message.request.sequence, pending, std::min(pending.giveUpAt, now + jittered(delay)));
}

void EntryCore::changeView(const ShardView &view, Instant now, Actions &actions)
{
    ShardView &known = m_views[view.key];
    if (view.epoch <= known.epoch) {
        return;
    }
    known = view;
    for (auto &[request, pending] : m_pending) {
        if (pending.shard == view.key) {
            send(request, pending, now, actions);
        }
    }
}

void EntryCore::loseConnection(NodeId peer, Instant now)
{
    for (auto &[request, pending] : m_pending) {
        const Instant soon = now + jittered(reconnectDelay);
        if (pending.sentTo == peer && soon < pending.wakeAt) {
            setWake(request, pending, soon);
        }
    }
}

void EntryCore::handleTimers(Instant now, Actions &actions)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const std::uint64_t request = m_wakes.begin()->second;
        PendingRequest &pending = m_pending.at(request);
        if (pending.giveUpAt <= now) {
            giveUp(request, actions);
            continue;
        }
        pending.resendDelay = std::min(pending.resendDelay * 2, maxResendDelay);
        send(request, pending, now, actions);
    }
}

void EntryCore::giveUp(std::uint64_t request, Actions &actions)
{
    const PendingRequest &pending = m_pending.at(request);
    if (!pending.sentEpoch && pending.kind == RequestKind::Submit) {
        const JobAnswer answer
            = JobAnswer::notRun(Reason::NoView, "no home of the service is known to this entry; the request was not sent", retryAfterRefusal);
        actions.emplace_back(AnswerCaller{ request, pending.job, answer });
        erase(request);
        return;
    }
    JobAnswer answer{ .outcome = Outcome::Failed, .reason = Reason::HomeLost };
    answer.detail = "the home did not answer in time and the job may have run; look up the same key for its outcome";
    answer.retryAfter = retryAfterRefusal;
    answer.started.resize(pending.content ? pending.content->tasks.size() : 0);
    std::iota(answer.started.begin(), answer.started.end(), TaskIndex{ 0 });
    actions.emplace_back(AnswerCaller{ request, pending.job, std::move(answer) });
    erase(request);
}

void EntryCore::setWake(std::uint64_t request, PendingRequest &pending, Instant at)
{
    m_wakes.erase({ pending.wakeAt, request });
    pending.wakeAt = at;
    m_wakes.emplace(at, request);
}

void EntryCore::erase(std::uint64_t request)
{
    const auto found = m_pending.find(request);
    if (found == m_pending.end()) {
        return;
    }
    m_bytes -= found->second.bytes;
    m_wakes.erase({ found->second.wakeAt, request });
    m_pending.erase(found);
}

Duration EntryCore::jittered(Duration delay)
{
    std::uniform_int_distribution<Duration::rep> distribution(delay.count() / 2, delay.count() * 3 / 2);
    return Duration(distribution(m_random));
}

} // namespace lagoonroute
