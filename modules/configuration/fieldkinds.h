#pragma once

#include <lagoonroute/base/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonroute
{

/** Inclusive range of a number. */
struct NumberRange
{
    std::uint64_t smallest = 0;
    std::uint64_t largest = 0;

    /** Returns the range as text, for example "1 to 100". */
    [[nodiscard]] std::string toString() const;
};

/** Inclusive range of a duration in whole milliseconds. */
struct DurationRange
{
    std::chrono::milliseconds shortest{ 0 };
    std::chrono::milliseconds longest{ 0 };

    /** Returns the range as text, for example "1 to 60000 whole milliseconds". */
    [[nodiscard]] std::string toString() const;
};

/** Format of a text field. */
enum class TextForm : std::uint8_t {
    Name, /**< 1 to 64 lower-case letters, digits and hyphens. */
    Caller, /**< 1 to 128 printable ASCII characters without spaces. */
    Path, /**< 1 to 256 printable ASCII characters without spaces, the first of them "/". */
    IpAddress, /**< IPv4 or IPv6 address. */
    Address, /**< IPv4 address, a colon and a port. */
    KeyName, /**< Header name, JSON pointer or empty text; at most 256 printable ASCII characters without spaces. */
};

/** Returns whether the text has the given format. */
bool hasFormat(std::string_view text, TextForm form);

/** Returns the description of the format for fault messages. */
std::string_view description(TextForm form);

/** Enumerators of a choice field with their names in JSON. */
template <typename Enum, std::size_t Count>
using ChoiceNames = std::array<std::pair<Enum, std::string_view>, Count>;

} // namespace lagoonroute
