#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/http/operatorpages.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

#include <string>

namespace lagoonroute
{

/** Common part of entries and agents: identity, metrics, status and the operator pages that show them. */
class NodeBase
{
public:
    /** Starts a new incarnation of the named node. */
    explicit NodeBase(const std::string &node);

    [[nodiscard]] Incarnation incarnation() const noexcept
    {
        return m_incarnation;
    }

    [[nodiscard]] MetricsRegistry &metrics() noexcept
    {
        return m_metrics;
    }

    [[nodiscard]] NodeStatus &status() noexcept
    {
        return m_status;
    }

    [[nodiscard]] const OperatorPages &pages() const noexcept
    {
        return m_pages;
    }

private:
    Incarnation m_incarnation;
    MetricsRegistry m_metrics;
    NodeStatus m_status;
    OperatorPages m_pages;
};

/** Returns the current wall-clock time. */
WallTime wallNow();

} // namespace lagoonroute
