#pragma once

#include <lagoonroute/configuration/configurationevents.h>

#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Returns the process itself and its peers in one availability zone, ordered by a rendezvous hash, so that every process
 * computes the same order.
 */
std::vector<NodeId> rankedProcesses(NodeId self, const std::string &zone, const std::vector<ConfigurationPeer> &peers);

} // namespace lagoonroute
