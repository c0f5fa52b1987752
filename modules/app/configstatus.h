#pragma once

#include "configcommand.h"

namespace lagoonroute
{

/** Reads a process's revision from the JSON of its /v1/status; nothing when the text is something else. */
std::optional<NodeRevision> parseNodeRevision(const std::string &text);

/** Prints the revision in force on each process, the lowest one, and the processes that lag. */
ConfigExit printStatus(const ConfigOptions &options, const ConfigPorts &ports);

} // namespace lagoonroute
