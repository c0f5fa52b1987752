#pragma once

#include <lagoonroute/control/controlcore.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

namespace lagoonroute
{

/** Logs and counts what a process learns about its cell. Used on the deciding thread only. */
class ControlObserver
{
public:
    /** Creates an observer that counts in the given registry; both arguments must outlive it. */
    ControlObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Notes an action before it is carried out. */
    void observe(const ControlAction &action);

    /** Shows the state of the core as metrics. */
    void publish(const ControlCore &control);

private:
    void observeView(const ShardView &view, const char *event);

    MetricsRegistry &m_metrics;
    NodeStatus &m_status;
    Counter &m_datagrams;
    Counter &m_storeCalls;
};

} // namespace lagoonroute
