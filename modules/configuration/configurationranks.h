#pragma once

#include <lagoonroute/configuration/configurationevents.h>

#include <string>
#include <vector>

namespace lagoonroute
{

/** Returns the process itself and its peers in one availability zone, in an order on which all agree (rendezvous hash). */
std::vector<NodeId> rankedProcesses(NodeId self, const std::string &zone, const std::vector<ConfigurationPeer> &peers);

} // namespace lagoonroute
