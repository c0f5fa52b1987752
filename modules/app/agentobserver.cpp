#include "agentobserver.h"

#include "messagename.h"

#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

AgentObserver::AgentObserver(MetricsRegistry &metrics)
    : m_metrics(metrics)
    , m_taskSeconds(metrics.summary("lagoonroute_task_seconds"))
{
}

void AgentObserver::observe(const AgentEvent &event, Instant /*now*/)
{
    if (const auto *replied = std::get_if<UpstreamReplied>(&event)) {
        observeEnd(replied->task, replied->result.status < 300 ? Reason::None : Reason::UpstreamError, replied->runTime);
    } else if (const auto *broke = std::get_if<UpstreamBroke>(&event)) {
        observeEnd(broke->task, broke->reason, broke->runTime);
    } else if (const auto *view = std::get_if<ViewChanged>(&event)) {
        observeView(view->view);
    } else if (const auto *gone = std::get_if<WorkerGone>(&event)) {
        logLine(LogLevel::Warning, "worker gone", { { "service", gone->service }, { "worker", static_cast<std::int64_t>(gone->node.value) } });
    } else if (std::holds_alternative<ConnectionLost>(event)) {
        m_metrics.counter("lagoonroute_connections_lost_total").add();
    }
}

void AgentObserver::observe(const AgentAction &action, Instant /*now*/)
{
    if (const auto *send = std::get_if<SendMessage>(&action)) {
        m_metrics.counter("lagoonroute_messages_sent_total", { { "type", std::string(messageName(send->message)) } }).add();
    } else if (const auto *call = std::get_if<CallUpstream>(&action)) {
        m_metrics.counter("lagoonroute_tasks_started_total", { { "service", call->service } }).add();
        logLine(LogLevel::Debug, "task started", { { "job", call->task.job.toString() }, { "task", call->task.index }, { "service", call->service } });
    }
}

void AgentObserver::observeView(const ShardView &view)
{
    m_metrics.gauge("lagoonroute_view_epoch", { { "service", view.key.service } }).set(static_cast<std::int64_t>(view.epoch));
    logLine(LogLevel::Info,
            "view changed",
            { { "service", view.key.service },
              { "epoch", static_cast<std::int64_t>(view.epoch) },
              { "home", static_cast<std::int64_t>(view.home.value) },
              { "mirror", static_cast<std::int64_t>(view.mirror.value) } });
}

void AgentObserver::observeEnd(const TaskId &task, Reason failure, Duration runTime)
{
    m_taskSeconds.observe(runTime);
    m_metrics.counter("lagoonroute_tasks_ended_total", { { "failure", std::string(toString(failure)) } }).add();
    logLine(LogLevel::Debug,
            "task ended",
            { { "job", task.job.toString() }, { "task", task.index }, { "failure", toString(failure) }, { "microseconds", runTime.count() } });
}

} // namespace lagoonroute
