#pragma once

#include <lagoonroute/direct/upstreamcore.h>
#include <lagoonroute/observation/metrics.h>

namespace lagoonroute
{

/** Sets the gauges of the capacity reservations at an agent. */
void recordReservationMetrics(MetricsRegistry &metrics, const CapacityReservation::Totals &totals);

} // namespace lagoonroute
