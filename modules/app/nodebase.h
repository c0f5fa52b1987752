#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/http/operatorpages.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

#include <string>

namespace lagoonroute
{

/** What an entry and an agent have in common: identity, metrics, status and the pages that show them. */
class NodeBase
{
public:
    /** Starts a new life of the node of the given name. */
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

/** The calendar time. */
WallTime wallNow();

} // namespace lagoonroute
