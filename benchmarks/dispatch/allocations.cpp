#include "allocations.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> calls{ 0 };
std::atomic<std::size_t> bytes{ 0 };

} // namespace

namespace lagoonroute::bench
{

std::size_t allocationCount()
{
    return calls;
}

std::size_t allocatedBytes()
{
    return bytes;
}

} // namespace lagoonroute::bench

void *operator new(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    ++calls;
    bytes += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    bytes -= memory == nullptr ? 0 : malloc_usable_size(memory);
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    operator delete(memory);
}
