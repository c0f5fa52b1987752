#pragma once

#include "configcommand.h"

namespace lagoonroute
{

/** Parses the JSON of /v1/status; returns nothing when the text has another format. */
std::optional<NodeRevision> parseNodeRevision(const std::string &text);

/** Prints the revision in force on each process and how far it lags behind, then the lowest and the highest revision. */
ConfigExit printStatus(const ConfigOptions &options, const ConfigPorts &ports);

} // namespace lagoonroute
