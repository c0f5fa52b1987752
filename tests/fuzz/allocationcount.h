#pragma once

#include <cstddef>

namespace lagoonroute::fuzz
{

/** Counts the bytes that the current thread has allocated and not yet freed since the construction of this object. */
class AllocationCount
{
public:
    AllocationCount();

    /** Largest number of bytes allocated at the same time so far. */
    [[nodiscard]] std::size_t peakBytes() const;
};

} // namespace lagoonroute::fuzz
