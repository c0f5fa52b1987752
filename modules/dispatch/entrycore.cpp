#include <lagoonroute/dispatch/entrycore.h>

#include <utility>

namespace lagoonroute
{

EntryCore::EntryCore(NodeId self, Incarnation incarnation)
    : m_self(self)
    , m_incarnation(incarnation)
{
}

void EntryCore::handle(const EntryEvent &event, Instant now, std::vector<EntryAction> &actions)
{
    if (const auto *submitted = std::get_if<CallerSubmitted>(&event)) {
        submit(*submitted, now, actions);
    } else if (const auto *received = std::get_if<MessageReceived>(&event)) {
        receive(received->message, actions);
    } else if (const auto *changed = std::get_if<ViewChanged>(&event)) {
        changeView(changed->view, now, actions);
    } else if (const auto *rules = std::get_if<RulesChanged>(&event)) {
        m_rules.insert_or_assign(rules->rules.name(), rules->rules);
    } else if (const auto *left = std::get_if<CallerLeft>(&event)) {
        m_pending.erase(left->request);
    } else if (std::holds_alternative<StopRequested>(event)) {
        m_stopping = true;
    }
}

std::optional<Instant> EntryCore::nextWake() const
{
    return std::nullopt;
}

void EntryCore::submit(const CallerSubmitted &event, Instant now, std::vector<EntryAction> &actions)
{
    const auto rules = m_rules.find(event.content.service);
    if (m_stopping) {
        actions.emplace_back(AnswerCaller{ event.request, event.job, JobAnswer::notRun(Reason::ShuttingDown, "this entry is stopping", Duration{ 0 }) });
        return;
    }
    if (rules == m_rules.end()) {
        actions.emplace_back(AnswerCaller{ event.request, event.job, JobAnswer::notRun(Reason::UnknownService, "no service of this name is defined") });
        return;
    }
    const bool hasDeadline = event.content.timeRemaining > Duration::zero();
    const Duration allowed = hasDeadline ? event.content.timeRemaining : rules->second.defaultDeadline();
    PendingRequest pending{ .shard = { event.content.service, 0 }, .job = event.job, .content = event.content, .deadline = now + allowed };
    send(event.request, pending, now, actions);
    m_pending.emplace(event.request, std::move(pending));
}

void EntryCore::send(std::uint64_t request, const PendingRequest &pending, Instant now, std::vector<EntryAction> &actions)
{
    const auto view = m_views.find(pending.shard);
    if (view == m_views.end() || !pending.content) {
        return;
    }
    SubmitJob message{
        .request = { m_self, m_incarnation, request }, .shard = pending.shard, .epoch = view->second.epoch, .job = pending.job, .content = *pending.content
    };
    message.content.timeRemaining = pending.deadline - now;
    actions.emplace_back(SendMessage{ view->second.home, std::move(message) });
}

void EntryCore::receive(const DispatchMessage &message, std::vector<EntryAction> &actions)
{
    const auto *answer = std::get_if<AnswerRequest>(&message);
    if (answer == nullptr || answer->request.incarnation != m_incarnation) {
        return;
    }
    if (m_pending.erase(answer->request.sequence) > 0) {
        actions.emplace_back(AnswerCaller{ answer->request.sequence, answer->job, answer->answer });
    }
}

void EntryCore::changeView(const ShardView &view, Instant now, std::vector<EntryAction> &actions)
{
    ShardView &known = m_views[view.key];
    if (view.epoch <= known.epoch) {
        return;
    }
    known = view;
    for (const auto &[request, pending] : m_pending) {
        if (pending.shard == view.key) {
            send(request, pending, now, actions);
        }
    }
}

} // namespace lagoonroute
