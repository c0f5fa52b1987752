#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** Resources that a task requires or that a worker provides. */
struct Resources
{
    std::uint32_t cpuMillis = 0; /**< Thousandths of a core. */
    std::uint32_t memoryMegabytes = 0; /**< Memory in units of 2^20 bytes. */
    std::uint16_t accelerators = 0; /**< Whole accelerators. */

    /** Returns whether a task that requires these resources fits a worker with the given free resources. */
    [[nodiscard]] bool fitsInto(const Resources &free) const noexcept
    {
        return cpuMillis <= free.cpuMillis && memoryMegabytes <= free.memoryMegabytes && accelerators <= free.accelerators;
    }

    /** Returns the sum, field by field. */
    friend Resources operator+(const Resources &left, const Resources &right) noexcept
    {
        return { left.cpuMillis + right.cpuMillis,
                 left.memoryMegabytes + right.memoryMegabytes,
                 static_cast<std::uint16_t>(left.accelerators + right.accelerators) };
    }

    /** Returns the difference, field by field; a negative result becomes zero. */
    friend Resources operator-(const Resources &left, const Resources &right) noexcept
    {
        return { left.cpuMillis - std::min(left.cpuMillis, right.cpuMillis),
                 left.memoryMegabytes - std::min(left.memoryMegabytes, right.memoryMegabytes),
                 static_cast<std::uint16_t>(left.accelerators - std::min(left.accelerators, right.accelerators)) };
    }

    auto operator<=>(const Resources &) const = default;
};

} // namespace lagoonroute
