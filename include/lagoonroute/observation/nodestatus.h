#pragma once

#include <lagoonroute/base/identifiers.h>

#include <atomic>
#include <string>
#include <utility>

namespace lagoonroute
{

/** Status of a process, as queried by operators and load balancers. Callable from any thread. */
class NodeStatus
{
public:
    /** Creates the status of the node with the given name. It starts as not ready. */
    explicit NodeStatus(std::string node)
        : m_node(std::move(node))
    {
    }

    /** Name of the node. */
    [[nodiscard]] const std::string &node() const noexcept
    {
        return m_node;
    }

    /** Whether the process accepts new work. */
    [[nodiscard]] bool isReady() const noexcept
    {
        return m_ready;
    }

    void setReady(bool ready) noexcept
    {
        m_ready = ready;
    }

    /** Revision of the configuration that this process has applied; 0 before the first one. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return m_revision;
    }

    void setRevision(Revision revision) noexcept
    {
        m_revision = revision;
    }

private:
    std::string m_node;
    std::atomic<bool> m_ready = false;
    std::atomic<Revision> m_revision = 0;
};

} // namespace lagoonroute
