#include "configurationpush.h"

#include "configurationranks.h"

#include <algorithm>

namespace lagoonroute
{

ConfigurationPush::ConfigurationPush(const ConfigurationCore::Options &options)
    : m_options(options)
{
}

void ConfigurationPush::setPeers(const std::vector<ConfigurationPeer> &peers)
{
    const std::vector<NodeId> ranked = rankedProcesses(m_options.self, m_options.zone, peers);
    const auto self = std::find(ranked.begin(), ranked.end(), m_options.self);
    const auto position = static_cast<std::size_t>(self - ranked.begin());
    const std::size_t first = std::min(ranked.size(), m_options.watchersPerZone + position * m_options.pushFanout);
    const std::size_t last = std::min(ranked.size(), first + m_options.pushFanout);
    m_children.assign(ranked.begin() + static_cast<std::ptrdiff_t>(first), ranked.begin() + static_cast<std::ptrdiff_t>(last));
}

} // namespace lagoonroute
