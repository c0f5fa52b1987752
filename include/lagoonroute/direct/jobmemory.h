#pragma once

#include <lagoonroute/base/memorybudget.h>
#include <lagoonroute/direct/directjob.h>

#include <cstddef>
#include <memory>

namespace lagoonroute
{

/** Memory of the open jobs of one entry, from the budget that they share with the requests that are being read. */
class JobMemory
{
public:
    /** Without a budget: no job is refused for its memory. */
    JobMemory() = default;

    explicit JobMemory(std::shared_ptr<MemoryBudget> budget);

    /** Returns the estimated memory of a job while it is open. */
    [[nodiscard]] static std::size_t bytesOf(const DirectJob &job);

    /** Returns whether a job may be admitted. A quarter of the budget is left to requests, so that they can still be read and answered. */
    [[nodiscard]] bool hasRoom(const DirectJob &job) const;

    /** Returns the reservation of an admitted job, which ends with it. */
    [[nodiscard]] MemoryReservation reserve(const DirectJob &job) const;

private:
    std::shared_ptr<MemoryBudget> m_budget;
};

} // namespace lagoonroute
