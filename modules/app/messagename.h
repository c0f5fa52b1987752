#pragma once

#include <lagoonroute/dispatch/messages.h>

#include <string_view>

namespace lagoonroute
{

/** Returns the name of the message's type in metrics and logs, for example "start-task". */
std::string_view messageName(const DispatchMessage &message);

} // namespace lagoonroute
