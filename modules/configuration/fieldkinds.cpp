#include "fieldkinds.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <string>

namespace lagoonroute
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxCallerLength = 128;
constexpr std::size_t maxPathLength = 256;

bool isPrintable(char character)
{
    return character > ' ' && character <= '~';
}

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

template <typename Predicate>
bool allOf(std::string_view text, std::size_t maxLength, Predicate predicate)
{
    return text.size() <= maxLength && std::all_of(text.begin(), text.end(), predicate);
}

bool isIpAddress(std::string_view text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text), error);
    return !error;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpAddress(text.substr(0, colon))) {
        return false;
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port != 0;
}

} // namespace

std::string NumberRange::toString() const
{
    return std::to_string(smallest) + " to " + std::to_string(largest);
}

std::string DurationRange::toString() const
{
    return std::to_string(shortest.count()) + " to " + std::to_string(longest.count()) + " whole milliseconds";
}

bool hasFormat(std::string_view text, TextForm form)
{
    switch (form) {
    case TextForm::Name:
        return !text.empty() && allOf(text, maxNameLength, isNameCharacter);
    case TextForm::Caller:
        return !text.empty() && allOf(text, maxCallerLength, isPrintable);
    case TextForm::Path:
        return !text.empty() && text.front() == '/' && allOf(text, maxPathLength, isPrintable);
    case TextForm::IpAddress:
        return isIpAddress(text);
    case TextForm::Address:
        return isAddress(text);
    case TextForm::KeyName:
        return allOf(text, maxPathLength, isPrintable);
    }
    return false;
}

std::string_view description(TextForm form)
{
    switch (form) {
    case TextForm::Name:
        return "1 to 64 lower-case letters, digits and hyphens";
    case TextForm::Caller:
        return "1 to 128 printable ASCII characters without spaces";
    case TextForm::Path:
        return "1 to 256 printable ASCII characters without spaces, the first of them /";
    case TextForm::IpAddress:
        return "an IP address such as 127.0.0.1";
    case TextForm::Address:
        return "an IP address and a port such as 127.0.0.1:7500";
    case TextForm::KeyName:
        return "at most 256 printable ASCII characters without spaces";
    }
    return "";
}

} // namespace lagoonroute
