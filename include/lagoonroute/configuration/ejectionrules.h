#pragma once

#include <lagoonroute/base/time.h>

#include <compare>
#include <cstdint>

namespace lagoonroute
{

/** When a worker that fails its tasks is taken out of service, and how it comes back. */
struct EjectionRules
{
    /** Percentage points by which a worker's failure rate must exceed that of all workers; 100 never ejects. */
    std::uint32_t failurePercentAboveFleet = 30;
    /** Finished tasks of a worker below which its failure rate is not judged. */
    std::uint32_t minimumSamples = 10;
    /** Largest share of the service's workers that may be ejected at once. */
    std::uint32_t largestEjectedPercent = 30;
    /** Time between the single tasks that probe an ejected worker. */
    Duration probeInterval = std::chrono::seconds(1);
    /** Probes in a row that must succeed before the worker is readmitted. */
    std::uint32_t probesToReadmit = 3;

    /** Returns a copy with another failure rate above the fleet's, in percentage points. */
    [[nodiscard]] EjectionRules withFailurePercentAboveFleet(std::uint32_t percent) const;

    /** Returns a copy with another number of samples. */
    [[nodiscard]] EjectionRules withMinimumSamples(std::uint32_t samples) const;

    /** Returns a copy with another largest ejected share, in percent. */
    [[nodiscard]] EjectionRules withLargestEjectedPercent(std::uint32_t percent) const;

    /** Returns a copy with another time between probes. */
    [[nodiscard]] EjectionRules withProbeInterval(Duration interval) const;

    /** Returns a copy with another number of successful probes. */
    [[nodiscard]] EjectionRules withProbesToReadmit(std::uint32_t probes) const;

    auto operator<=>(const EjectionRules &) const = default;
};

} // namespace lagoonroute
