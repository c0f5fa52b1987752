#pragma once

#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** Conditions under which a worker with failing tasks is ejected, and under which it is readmitted. */
struct EjectionRules
{
    /** Percentage points by which a worker's failure rate must exceed that of the other workers; 100 disables this comparison. */
    std::uint32_t failurePercentAboveFleet = 30;
    /** Number of finished tasks that a worker needs before its failure rate is evaluated. */
    std::uint32_t minimumSamples = 10;
    /** Largest percentage of the service's workers that may be ejected at the same time. */
    std::uint32_t largestEjectedPercent = 30;
    /** Interval between probes of an ejected worker; each probe is a single task. */
    Duration probeInterval = std::chrono::seconds(1);
    /** Number of consecutive successful probes after which the worker is readmitted. */
    std::uint32_t probesToReadmit = 3;

    /** Returns a copy with the given threshold above the failure rate of the other workers, in percentage points. */
    [[nodiscard]] EjectionRules withFailurePercentAboveFleet(std::uint32_t percent) const;

    /** Returns a copy with the given minimum number of finished tasks. */
    [[nodiscard]] EjectionRules withMinimumSamples(std::uint32_t samples) const;

    /** Returns a copy with the given largest percentage of ejected workers. */
    [[nodiscard]] EjectionRules withLargestEjectedPercent(std::uint32_t percent) const;

    /** Returns a copy with the given interval between probes. */
    [[nodiscard]] EjectionRules withProbeInterval(Duration interval) const;

    /** Returns a copy with the given number of consecutive successful probes. */
    [[nodiscard]] EjectionRules withProbesToReadmit(std::uint32_t probes) const;

    auto operator<=>(const EjectionRules &) const = default;
};

} // namespace lagoonroute
