#include <lagoonroute/configuration/checkfault.h>

#include <utility>

namespace lagoonroute
{

namespace
{

/** Of a value in a message; a longer one is cut, since it would fill the log. */
constexpr std::size_t maxShownValueBytes = 200;

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
    std::string shown = value;
    if (shown.size() > maxShownValueBytes) {
        shown = shown.substr(0, maxShownValueBytes) + "... (" + std::to_string(value.size()) + " bytes)";
    }
    return (place.empty() ? "/" : place) + ": found " + shown + ", allowed " + allowed;
}

InvalidConfiguration::InvalidConfiguration(std::vector<CheckFault> faults)
    : InvalidDocument(lines(faults))
    , m_faults(std::move(faults))
{
}

} // namespace lagoonroute
