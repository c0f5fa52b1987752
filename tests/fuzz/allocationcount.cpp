#include "allocationcount.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

thread_local std::ptrdiff_t liveBytes = 0;
thread_local std::ptrdiff_t peakLiveBytes = 0;

void *allocate(std::size_t size)
{
    void *block = std::malloc(size);
    if (block == nullptr) {
        throw std::bad_alloc();
    }
    liveBytes += static_cast<std::ptrdiff_t>(malloc_usable_size(block));
    peakLiveBytes = std::max(peakLiveBytes, liveBytes);
    return block;
}

void release(void *block) noexcept
{
    liveBytes -= static_cast<std::ptrdiff_t>(malloc_usable_size(block));
    std::free(block);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void operator delete(void *block) noexcept
{
    release(block);
}

void operator delete(void *block, std::size_t /*size*/) noexcept
{
    release(block);
}

namespace lagoonroute::fuzz
{

AllocationCount::AllocationCount()
{
    liveBytes = 0;
    peakLiveBytes = 0;
}

std::size_t AllocationCount::peakBytes() const
{
    return static_cast<std::size_t>(peakLiveBytes);
}

} // namespace lagoonroute::fuzz
