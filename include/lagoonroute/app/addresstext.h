#pragma once

#include <lagoonroute/membership/member.h>

#include <string>

namespace lagoonroute
{

/** Parses an address of the form "127.0.0.1:7500". Throws InvalidDocument when the text has another form. */
NodeAddress addressFromText(const std::string &text);

} // namespace lagoonroute
