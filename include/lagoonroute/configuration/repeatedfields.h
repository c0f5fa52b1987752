#pragma once

#include <lagoonroute/configuration/checkfault.h>

#include <string_view>
#include <vector>

namespace lagoonroute
{

/**
 * Returns a fault for each field that stands twice in its object, which a JSON value no longer shows, or one fault with the
 * line of the text where it is not JSON.
 */
std::vector<CheckFault> repeatedFields(std::string_view text);

} // namespace lagoonroute
