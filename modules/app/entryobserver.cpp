#include "entryobserver.h"

#include "messagename.h"

#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

EntryObserver::EntryObserver(MetricsRegistry &metrics, NodeStatus &status)
    : m_metrics(metrics)
    , m_control(metrics, status)
{
}

void EntryObserver::observe(const EntryProcess::Event &event, Instant now)
{
    if (const auto *entryEvent = std::get_if<EntryEvent>(&event)) {
        observeEvent(*entryEvent, now);
    }
}

void EntryObserver::observe(const EntryProcess::Action &action, Instant now)
{
    if (const auto *control = std::get_if<ControlAction>(&action)) {
        m_control.observe(*control);
        return;
    }
    const auto &entryAction = std::get<EntryAction>(action);
    if (const auto *send = std::get_if<SendMessage>(&entryAction)) {
        m_metrics.counter("lagoonroute_messages_sent_total", { { "type", std::string(messageName(send->message)) } }).add();
    } else {
        observeAnswer(std::get<AnswerCaller>(entryAction), now);
    }
}

void EntryObserver::publish(const EntryProcess &process)
{
    m_metrics.gauge("lagoonroute_open_requests").set(static_cast<std::int64_t>(process.dispatch().pending()));
    m_control.publish(process.control());
}

void EntryObserver::observeEvent(const EntryEvent &event, Instant now)
{
    if (const auto *submitted = std::get_if<CallerSubmitted>(&event)) {
        m_openRequests.insert_or_assign(submitted->request, OpenRequest{ submitted->key, submitted->content.service, now });
        m_metrics.counter("lagoonroute_jobs_submitted_total", { { "service", submitted->content.service } }).add();
        logLine(LogLevel::Info,
                "job submitted",
                { { "job", submitted->job.toString() },
                  { "key", submitted->key },
                  { "service", submitted->content.service },
                  { "caller", submitted->content.caller },
                  { "tasks", static_cast<std::int64_t>(submitted->content.tasks.size()) } });
    } else if (const auto *left = std::get_if<CallerLeft>(&event)) {
        m_openRequests.erase(left->request);
        m_metrics.counter("lagoonroute_callers_left_total").add();
    }
}

void EntryObserver::observeAnswer(const AnswerCaller &answer, Instant now)
{
    const std::string outcome(toString(answer.answer.outcome));
    const std::string reason(toString(answer.answer.reason));
    m_metrics.counter("lagoonroute_answers_total", { { "outcome", outcome }, { "reason", reason } }).add();
    const auto open = m_openRequests.find(answer.request);
    if (open == m_openRequests.end()) {
        return;
    }
    const Duration taken = now - open->second.since;
    m_metrics.summary("lagoonroute_answer_seconds", { { "service", open->second.service } }).observe(taken);
    logLine(LogLevel::Info,
            "job answered",
            { { "job", answer.job.toString() },
              { "key", open->second.key },
              { "outcome", outcome },
              { "reason", reason },
              { "detail", answer.answer.detail },
              { "microseconds", taken.count() } });
    m_openRequests.erase(open);
}

} // namespace lagoonroute
