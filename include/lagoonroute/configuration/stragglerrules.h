#pragma once

#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** When a worker counts as a straggler: tasks queued there that have not started are withdrawn. */
struct StragglerRules
{
    /** Run time against declared run time, as a percentage of the fleet's median, from which a worker is a straggler. */
    std::uint32_t slowdownPercent = 300;
    /** Finished tasks of a worker below which its speed is not judged. */
    std::uint32_t minimumSamples = 10;

    /** Returns a copy with another slowdown, in percent of the fleet's median. */
    [[nodiscard]] StragglerRules withSlowdownPercent(std::uint32_t percent) const;

    /** Returns a copy with another number of samples. */
    [[nodiscard]] StragglerRules withMinimumSamples(std::uint32_t samples) const;

    auto operator<=>(const StragglerRules &) const = default;
};

} // namespace lagoonroute
