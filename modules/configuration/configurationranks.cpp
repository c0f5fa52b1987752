#include "configurationranks.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

std::vector<NodeId> rankedProcesses(NodeId self, const std::string &zone, const std::vector<ConfigurationPeer> &peers)
{
    const auto ranked = [](NodeId id) { return std::pair(Digest::of("configuration/" + std::to_string(id.value)).low, id); };
    std::vector<std::pair<std::uint64_t, NodeId>> ranks{ ranked(self) };
    for (const ConfigurationPeer &peer : peers) {
        if (peer.zone == zone && peer.id != self) {
            ranks.push_back(ranked(peer.id));
        }
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<NodeId> processes;
    processes.reserve(ranks.size());
    for (const auto &[rank, id] : ranks) {
        processes.push_back(id);
    }
    return processes;
}

} // namespace lagoonroute
