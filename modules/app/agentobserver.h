#pragma once

#include "agentprocess.h"
#include "controlobserver.h"

#include <lagoonroute/observation/metrics.h>

namespace lagoonroute
{

/** Logs and counts what an agent hears and decides. Used on the deciding thread only. */
class AgentObserver
{
public:
    /** Creates an observer that counts in the given registry; both arguments must outlive it. */
    AgentObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Notes an event before the core handles it. */
    void observe(const AgentProcess::Event &event, Instant now);

    /** Notes an action before it is carried out. */
    void observe(const AgentProcess::Action &action, Instant now);

    /** Shows the state of the cores as metrics. */
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
