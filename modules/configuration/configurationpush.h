#pragma once

#include <lagoonroute/configuration/configurationcore.h>

#include <vector>

namespace lagoonroute
{

/**
 * Decides to which peers a process passes a new revision at once.
 *
 * The ranked processes of an availability zone form trees whose roots are the watchers. Nothing is acknowledged: who is missed, because
 * a process above died or the members are seen differently, learns by gossip and asks.
 */
class ConfigurationPush
{
public:
    explicit ConfigurationPush(const ConfigurationCore::Options &options);

    /** Takes the live processes, from which follow the children in the tree. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Peers to which a new revision is passed. */
    [[nodiscard]] const std::vector<NodeId> &children() const noexcept
    {
        return m_children;
    }

private:
    ConfigurationCore::Options m_options;
    std::vector<NodeId> m_children;
};

} // namespace lagoonroute
