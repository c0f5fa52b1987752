#pragma once

#include <lagoonroute/control/controlevents.h>
#include <lagoonroute/observation/metrics.h>

namespace lagoonroute
{

/** Logs and counts what a process learns about its cell. Used on the deciding thread only. */
class ControlObserver
{
public:
    /** Creates an observer that counts in the given registry, which must outlive it. */
    explicit ControlObserver(MetricsRegistry &metrics);

    /** Notes an action before it is carried out. */
    void observe(const ControlAction &action);

private:
    void observeView(const ShardView &view, const char *event);

    MetricsRegistry &m_metrics;
    Counter &m_datagrams;
    Counter &m_storeCalls;
};

} // namespace lagoonroute
