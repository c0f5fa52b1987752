#pragma once

#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** Conditions under which a worker is considered a straggler. Queued tasks that have not started are withdrawn from a straggler. */
struct StragglerRules
{
    /**
     * Threshold for the ratio of actual to declared run time, as a percentage of the median ratio of all workers. A worker at or
     * above it is a straggler.
     */
    std::uint32_t slowdownPercent = 300;
    /** Number of finished tasks that a worker needs before its speed is evaluated. */
    std::uint32_t minimumSamples = 10;

    /** Returns a copy with the given threshold, in percent of the median ratio of all workers. */
    [[nodiscard]] StragglerRules withSlowdownPercent(std::uint32_t percent) const;

    /** Returns a copy with the given minimum number of finished tasks. */
    [[nodiscard]] StragglerRules withMinimumSamples(std::uint32_t samples) const;

    auto operator<=>(const StragglerRules &) const = default;
};

} // namespace lagoonroute
