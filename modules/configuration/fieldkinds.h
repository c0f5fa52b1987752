#pragma once

#include <lagoonroute/base/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace lagoonroute
{

/** Range of a number, both ends included. */
struct NumberRange
{
    std::uint64_t smallest = 0;
    std::uint64_t largest = 0;

    /** Returns for example "1 to 100". */
    [[nodiscard]] std::string toString() const;
};

/** Range of a duration in whole milliseconds, both ends included. */
struct DurationRange
{
    std::chrono::milliseconds shortest{ 0 };
    std::chrono::milliseconds longest{ 0 };

    /** Returns for example "1 to 60000 whole milliseconds". */
    [[nodiscard]] std::string toString() const;
};

/** Form of a text. */
enum class TextForm : std::uint8_t {
    Name, /**< 1 to 64 lower-case letters, digits and hyphens. */
    Caller, /**< 1 to 128 printable ASCII characters. */
    Path, /**< 1 to 256 printable ASCII characters, the first of them "/". */
    IpNumber, /**< IP number, version 4 or 6. */
    Address, /**< IP number, version 4, a colon and a port. */
    KeyName, /**< A header's name, a JSON pointer, or nothing. */
};

/** Tells whether the text has the form. */
bool hasForm(std::string_view text, TextForm form);

/** Returns the description of the form that faults show. */
std::string_view description(TextForm form);

/** Values of a choice with their names in JSON. */
template <typename Enum, std::size_t Count>
using ChoiceNames = std::array<std::pair<Enum, std::string_view>, Count>;

} // namespace lagoonroute
