#include <lagoonroute/configuration/checkfault.h>

#include <utility>

namespace lagoonroute
{

namespace
{

std::string lines(const std::vector<CheckFault> &faults)
{
    std::string text;
    for (const CheckFault &fault : faults) {
        text += text.empty() ? "" : "\n";
        text += fault.toString();
    }
    return text;
}

} // namespace

std::string CheckFault::toString() const
{
    return (place.empty() ? "/" : place) + ": found " + value + ", allowed " + allowed;
}

InvalidConfiguration::InvalidConfiguration(std::vector<CheckFault> faults)
    : InvalidDocument(lines(faults))
    , m_faults(std::move(faults))
{
}

} // namespace lagoonroute
