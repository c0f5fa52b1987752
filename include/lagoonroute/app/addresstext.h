#pragma once

#include <lagoonroute/membership/member.h>

#include <string>

namespace lagoonroute
{

/** Returns the address in a text of the form "127.0.0.1:7500". Throws InvalidDocument when it has another form. */
NodeAddress addressFromText(const std::string &text);

} // namespace lagoonroute
