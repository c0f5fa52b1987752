#pragma once

#include <lagoonroute/configuration/configurationcore.h>

#include <vector>

namespace lagoonroute
{

/**
 * Decides to which peers a process pushes a new revision immediately.
 *
 * The ranked processes of an availability zone form trees whose roots are the watchers. A push is not acknowledged: a process
 * that it does not reach, because a parent has stopped or membership views differ, learns of the revision by gossip and
 * requests it.
 */
class ConfigurationPush
{
public:
    explicit ConfigurationPush(const ConfigurationCore::Options &options);

    /** Sets the running processes, which determine the children in the tree. */
    void setPeers(const std::vector<ConfigurationPeer> &peers);

    /** Returns the peers to which a new revision is pushed. */
    [[nodiscard]] const std::vector<NodeId> &children() const noexcept
    {
        return m_children;
    }

private:
    ConfigurationCore::Options m_options;
    std::vector<NodeId> m_children;
};

} // namespace lagoonroute
