#pragma once

#include <cstddef>

namespace lagoonroute::fuzz
{

/** Counts the bytes that this thread has allocated and not freed, from its construction on. */
class AllocationCount
{
public:
    AllocationCount();

    /** Largest number of bytes in use at a time so far. */
    [[nodiscard]] std::size_t peakBytes() const;
};

} // namespace lagoonroute::fuzz
