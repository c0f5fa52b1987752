#include <lagoonroute/configuration/checkfault.h>

#include <utility>

namespace lagoonroute
{

namespace
{

/** Longest value shown in a message. A longer one is cut so that it does not fill the log. */
constexpr std::size_t maxDisplayedValueBytes = 200;

std::string joinFaultLines(const std::vector<CheckFault> &faults)
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
    std::string displayedValue = value;
    if (displayedValue.size() > maxDisplayedValueBytes) {
        displayedValue = displayedValue.substr(0, maxDisplayedValueBytes) + "... (" + std::to_string(value.size()) + " bytes)";
    }
    return (place.empty() ? "/" : place) + ": found " + displayedValue + ", allowed " + allowed;
}

InvalidConfiguration::InvalidConfiguration(std::vector<CheckFault> faults)
    : InvalidDocument(joinFaultLines(faults))
    , m_faults(std::move(faults))
{
}

} // namespace lagoonroute
