#include <lagoonroute/direct/jobmemory.h>

#include <utility>

namespace lagoonroute
{

namespace
{

/** Memory of an open task: its state takes 208 bytes, and the vector that holds it is up to twice as large. */
constexpr std::size_t bytesPerTask = 320;
/** Memory of an open job besides its tasks: its state, its route and its places in the maps of the entry. */
constexpr std::size_t bytesPerJob = 1500;

} // namespace

JobMemory::JobMemory(std::shared_ptr<MemoryBudget> budget)
    : m_budget(std::move(budget))
{
}

std::size_t JobMemory::bytesOf(const DirectJob &job)
{
    std::size_t bytes = bytesPerJob + (3 * job.id.size()) + job.spec.size();
    for (const DirectStep &step : job.steps) {
        bytes += sizeof(DirectStep) + (step.after.size() * sizeof(step.after.front())) + step.requiredLabel.size() + step.preferredLabel.size();
        bytes += step.count * bytesPerTask;
    }
    return bytes;
}

bool JobMemory::hasRoom(const DirectJob &job) const
{
    return !m_budget || m_budget->used() + bytesOf(job) <= m_budget->limit() / 4 * 3;
}

MemoryReservation JobMemory::reserve(const DirectJob &job) const
{
    MemoryReservation reservation(m_budget);
    reservation.take(bytesOf(job));
    return reservation;
}

} // namespace lagoonroute
