#pragma once

#include <string>

namespace lagoonroute
{

/** Sets up the process-wide log: one JSON object a line on standard error, at the given spdlog level. */
void startLogging(const std::string &node, const std::string &level);

} // namespace lagoonroute
