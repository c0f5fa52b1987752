#pragma once

#include <lagoonroute/direct/directentrycore.h>
#include <lagoonroute/observation/metrics.h>

namespace lagoonroute
{

/** Sets the gauges that show the state of an entry's decisions. */
void recordEntryMetrics(MetricsRegistry &metrics, const DirectEntryCore &core);

} // namespace lagoonroute
