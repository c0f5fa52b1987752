#pragma once

#include <lagoonroute/base/identifiers.h>

#include <atomic>
#include <string>
#include <utility>

namespace lagoonroute
{

/** What operators and balancers ask of a process. Callable from any thread. */
class NodeStatus
{
public:
    /** Creates the status of the node of the given name, not ready. */
    explicit NodeStatus(std::string node)
        : m_node(std::move(node))
    {
    }

    /** Name of the node. */
    [[nodiscard]] const std::string &node() const noexcept
    {
        return m_node;
    }

    /** Whether the process takes new work. */
    [[nodiscard]] bool isReady() const noexcept
    {
        return m_ready;
    }

    void setReady(bool ready) noexcept
    {
        m_ready = ready;
    }

    /** Revision of the configuration in force here; 0 before the first one. */
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
