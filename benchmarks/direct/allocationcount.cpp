#include "allocationcount.h"

#include <cstdlib>
#include <new>

namespace
{

std::uint64_t allocations = 0; // the programs that link this file use one thread

} // namespace

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size == 0 ? 1 : size)) { // NOLINT(cppcoreguidelines-no-malloc)
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory); // NOLINT(cppcoreguidelines-no-malloc)
}

namespace lagoonroute::bench
{

std::uint64_t allocationCount() noexcept
{
    return allocations;
}

} // namespace lagoonroute::bench
