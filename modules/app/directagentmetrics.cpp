#include <lagoonroute/app/directagentmetrics.h>

namespace lagoonroute
{

void recordReservationMetrics(MetricsRegistry &metrics, const CapacityReservation::Totals &totals)
{
    metrics.gauge("lagoonroute_capacity_holds", { { "state", "begun" } }).set(static_cast<std::int64_t>(totals.begun));
    metrics.gauge("lagoonroute_capacity_holds", { { "state", "used" } }).set(static_cast<std::int64_t>(totals.used));
    metrics.gauge("lagoonroute_capacity_holds", { { "state", "expired" } }).set(static_cast<std::int64_t>(totals.expired));
    constexpr double millisPerSecond = 1000;
    metrics.gauge("lagoonroute_held_processor_milliseconds").set(static_cast<std::int64_t>(totals.heldProcessorSeconds * millisPerSecond));
}

} // namespace lagoonroute
