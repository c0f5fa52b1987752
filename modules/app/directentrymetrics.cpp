#include <lagoonroute/app/directentrymetrics.h>

namespace lagoonroute
{

void recordEntryMetrics(MetricsRegistry &metrics, const DirectEntryCore &core)
{
    metrics.gauge("lagoonroute_open_jobs").set(static_cast<std::int64_t>(core.openJobs()));
    metrics.gauge("lagoonroute_open_agents").set(static_cast<std::int64_t>(core.agentRegistry().openAgents()));
    metrics.gauge("lagoonroute_unconfirmed_runs").set(static_cast<std::int64_t>(core.unconfirmedRuns()));
    metrics.gauge("lagoonroute_announced_jobs").set(static_cast<std::int64_t>(core.announcedJobs()));
    const ReservationPlan::Totals &reservations = core.reservationTotals();
    metrics.gauge("lagoonroute_reservations", { { "state", "made" } }).set(static_cast<std::int64_t>(reservations.made));
    metrics.gauge("lagoonroute_reservations", { { "state", "used" } }).set(static_cast<std::int64_t>(reservations.used));
    metrics.gauge("lagoonroute_reservations", { { "state", "given-up" } }).set(static_cast<std::int64_t>(reservations.givenUp));
}

} // namespace lagoonroute
