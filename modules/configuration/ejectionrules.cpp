#include <lagoonroute/configuration/ejectionrules.h>

namespace lagoonroute
{

EjectionRules EjectionRules::withFailurePercentAboveFleet(std::uint32_t percent) const
{
    EjectionRules copy = *this;
    copy.failurePercentAboveFleet = percent;
    return copy;
}

EjectionRules EjectionRules::withMinimumSamples(std::uint32_t samples) const
{
    EjectionRules copy = *this;
    copy.minimumSamples = samples;
    return copy;
}

EjectionRules EjectionRules::withLargestEjectedPercent(std::uint32_t percent) const
{
    EjectionRules copy = *this;
    copy.largestEjectedPercent = percent;
    return copy;
}

EjectionRules EjectionRules::withProbeInterval(Duration interval) const
{
    EjectionRules copy = *this;
    copy.probeInterval = interval;
    return copy;
}

EjectionRules EjectionRules::withProbesToReadmit(std::uint32_t probes) const
{
    EjectionRules copy = *this;
    copy.probesToReadmit = probes;
    return copy;
}

} // namespace lagoonroute
