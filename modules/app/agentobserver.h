#pragma once

#include "agentprocess.h"
#include "controlobserver.h"

#include <lagoonroute/observation/metrics.h>

namespace lagoonroute
{

/** Logs the events and actions of an agent and counts them in metrics. Used on the decision thread only. */
class AgentObserver
{
public:
    /** Creates an observer that updates the given metrics and status; both must outlive it. */
    AgentObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Records an event before the core handles it. */
    void observe(const AgentProcess::Event &event, Instant now);

    /** Records an action before it is performed. */
    void observe(const AgentProcess::Action &action, Instant now);

    /** Publishes the state of the cores as metrics. */
    void publish(const AgentProcess &process);

private:
    void observeEvent(const AgentEvent &event);
    void observeAction(const AgentAction &action);
    void observeEnd(const TaskId &task, Reason failure, Duration runTime);

    MetricsRegistry &m_metrics;
    DurationSummary &m_taskSeconds;
    ControlObserver m_control;
};

} // namespace lagoonroute
