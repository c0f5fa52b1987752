#include <lagoonroute/direct/directentrycore.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

/** Least time between two log lines about reservations. */
constexpr Duration noteInterval = std::chrono::seconds(1);

} // namespace

const DirectEntryCore::Task &DirectEntryCore::nextTask(const Job &job)
{
    return *std::find_if(job.tasks.begin(), job.tasks.end(), [](const Task &other) { return other.phase == TaskPhase::Waiting; });
}

bool DirectEntryCore::shouldReserve(const Job &job, Instant now) const
{
    return m_options.capacityReservations && m_reservationPlan.isDue(job.arrived, job.objective, job.chain, now);
}

/**
 * Puts the job with reservations before others of its priority, which would take the capacity that agents hold back for it. A job
 * that is late already stays behind those that can be on time.
 */
void DirectEntryCore::promoteReserved(std::vector<JobPointer> &ordered, Instant now) const
{
    if (m_reservationPlan.isEmpty()) {
        return;
    }
    const auto reserved = std::find_if(ordered.begin(), ordered.end(), [&](const JobPointer &job) { return m_reservationPlan.isReservedFor(job->job.id); });
    if (reserved != ordered.end() && ((*reserved)->hasStarted || now + (*reserved)->chain <= (*reserved)->objective)) {
        const std::uint32_t priority = (*reserved)->route.priority;
        const auto first = std::find_if(ordered.begin(), reserved, [priority](const JobPointer &job) { return job->route.priority == priority; });
        std::rotate(first, reserved, reserved + 1);
    }
}

ReservationRequests DirectEntryCore::reviewReservations(const JobPointer &waiting, Instant now, EntryActions &actions)
{
    if (!waiting) {
        return m_reservationPlan.review(std::nullopt, {}, now);
    }
    const Task &task = nextTask(*waiting);
    const DirectStep &step = waiting->job.steps[task.step];
    const std::vector<NodeId> excluded = placementRequest(*waiting, task).excluded;
    const CapacityDemand demand{ waiting->route.service, step.requiredLabel, waiting->route.priority, step.need, 1, task.expected };
    const auto isExcluded = [&excluded](NodeId node) { return std::find(excluded.begin(), excluded.end(), node) != excluded.end(); };
    const ReservationPlan::Candidates candidates{ [&](NodeId node) { return !isExcluded(node) && m_agentRegistry.canReserve(node, demand, now); },
                                                  [&] {
                                                      std::vector<NodeId> nodes = m_agentRegistry.reservationCandidates(demand, now);
                                                      std::erase_if(nodes, isExcluded);
                                                      return nodes;
                                                  } };
    const std::uint64_t made = m_reservationPlan.totals().made;
    const ReservationPlan::Demand reserving{ waiting->job.id, waiting->route.priority, step.need, task.expected };
    ReservationRequests requests = m_reservationPlan.review(reserving, candidates, now);
    if (m_reservationPlan.totals().made != made && now >= m_nextReservationNote) {
        m_nextReservationNote = now + noteInterval;
        note(actions,
             "capacity-reserved",
             waiting->job.id,
             std::to_string(step.need.cpuMillis) + " thousandths of a processor at " + std::to_string(requests.size()) + " agents, "
                 + std::to_string((now - waiting->arrived).count() / 1000) + " ms after the arrival");
    }
    return requests;
}

} // namespace lagoonroute
