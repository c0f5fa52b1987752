#pragma once

#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

namespace lagoonroute
{

/** Logs the actions of a ControlCore and counts them in metrics. Used on the decision thread only. */
class ControlObserver
{
public:
    /** Creates an observer that updates the given metrics and status; both must outlive it. */
    ControlObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Records an action before it is performed. */
    void observe(const ControlAction &action);

    /** Publishes the state of the core as metrics. */
    void publish(const ControlCore &control);

private:
    void observeView(const ShardView &view, const char *event);

    MetricsRegistry &m_metrics;
    NodeStatus &m_status;
    Counter &m_datagrams;
    Counter &m_storeCalls;
};

} // namespace lagoonroute
