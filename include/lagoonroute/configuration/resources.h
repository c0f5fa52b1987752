#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** What a task needs of a worker, or what a worker has. */
struct Resources
{
    std::uint32_t cpuMillis = 0; /**< Thousandths of a core. */
    std::uint32_t memoryMegabytes = 0; /**< Memory in units of 2^20 bytes. */
    std::uint16_t accelerators = 0; /**< Whole accelerators. */

    /** Tells whether a task with this need fits a worker with the given free resources. */
    [[nodiscard]] bool fitsInto(const Resources &free) const noexcept
    {
        return cpuMillis <= free.cpuMillis && memoryMegabytes <= free.memoryMegabytes && accelerators <= free.accelerators;
    }

    /** Returns the sum of both. */
    friend Resources operator+(const Resources &left, const Resources &right) noexcept
    {
        return { left.cpuMillis + right.cpuMillis,
                 left.memoryMegabytes + right.memoryMegabytes,
                 static_cast<std::uint16_t>(left.accelerators + right.accelerators) };
    }

    /** Returns what is left of the first without the second; nothing falls below zero. */
    friend Resources operator-(const Resources &left, const Resources &right) noexcept
    {
        return { left.cpuMillis - std::min(left.cpuMillis, right.cpuMillis),
                 left.memoryMegabytes - std::min(left.memoryMegabytes, right.memoryMegabytes),
                 static_cast<std::uint16_t>(left.accelerators - std::min(left.accelerators, right.accelerators)) };
    }

    auto operator<=>(const Resources &) const = default;
};

} // namespace lagoonroute
