#include <lagoonroute/configuration/stragglerrules.h>

namespace lagoonroute
{

StragglerRules StragglerRules::withSlowdownPercent(std::uint32_t percent) const
{
    StragglerRules copy = *this;
    copy.slowdownPercent = percent;
    return copy;
}

StragglerRules StragglerRules::withMinimumSamples(std::uint32_t samples) const
{
    StragglerRules copy = *this;
    copy.minimumSamples = samples;
    return copy;
}

} // namespace lagoonroute
