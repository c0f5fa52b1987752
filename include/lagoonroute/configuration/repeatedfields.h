#pragma once

#include <lagoonroute/configuration/checkfault.h>

#include <string_view>
#include <vector>

namespace lagoonroute
{

/**
 * Returns a fault for each field that is repeated within its object. The text is examined because a parsed JSON value no
 * longer contains the repetition. If the text is not valid JSON, adds a fault with the number of the line at which parsing failed.
 */
std::vector<CheckFault> repeatedFields(std::string_view text);

} // namespace lagoonroute
