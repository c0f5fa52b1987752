#include "agentobserver.h"

#include "messagename.h"

#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

AgentObserver::AgentObserver(MetricsRegistry &metrics, NodeStatus &status)
    : m_metrics(metrics)
    , m_taskSeconds(metrics.summary("lagoonroute_task_seconds"))
    , m_control(metrics, status)
{
}

void AgentObserver::observe(const AgentProcess::Event &event, Instant /*now*/)
{
    if (const auto *agentEvent = std::get_if<AgentEvent>(&event)) {
        observeEvent(*agentEvent);
    }
}

void AgentObserver::observe(const AgentProcess::Action &action, Instant /*now*/)
{
    if (const auto *agentAction = std::get_if<AgentAction>(&action)) {
        observeAction(*agentAction);
    } else {
        m_control.observe(std::get<ControlAction>(action));
    }
}

void AgentObserver::publish(const AgentProcess &process)
{
    const AgentCore &agent = process.cores().dispatch();
    m_metrics.gauge("lagoonroute_running_tasks").set(static_cast<std::int64_t>(agent.executor().running()));
    m_metrics.gauge("lagoonroute_homes_held").set(static_cast<std::int64_t>(agent.homeShards().size()));
    for (const ShardKey &shard : agent.homeShards()) {
        m_metrics.gauge("lagoonroute_recorded_jobs", { { "service", shard.service } }).set(static_cast<std::int64_t>(agent.home(shard)->jobCount()));
    }
    m_control.publish(process.cores().control());
}

void AgentObserver::observeEvent(const AgentEvent &event)
{
    if (const auto *replied = std::get_if<UpstreamReplied>(&event)) {
        observeEnd(replied->task, replied->result.status < 300 ? Reason::None : Reason::UpstreamError, replied->runTime);
    } else if (const auto *broke = std::get_if<UpstreamCallBroken>(&event)) {
        observeEnd(broke->task, broke->reason, broke->runTime);
    } else if (std::holds_alternative<ConnectionLost>(event)) {
        m_metrics.counter("lagoonroute_connections_lost_total").add();
    }
}

void AgentObserver::observeAction(const AgentAction &action)
{
    if (const auto *send = std::get_if<SendMessage>(&action)) {
        m_metrics.counter("lagoonroute_messages_sent_total", { { "type", std::string(messageName(send->message)) } }).add();
    } else if (const auto *call = std::get_if<CallUpstream>(&action)) {
        m_metrics.counter("lagoonroute_tasks_started_total", { { "service", call->service } }).add();
        logLine(LogLevel::Debug, "task started", { { "job", call->task.job.toString() }, { "task", call->task.index }, { "service", call->service } });
    }
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
