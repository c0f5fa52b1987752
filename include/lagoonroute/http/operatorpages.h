#pragma once

#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

#include <optional>

namespace lagoonroute
{

/**
 * HTTP pages that every process serves to operators and load balancers.
 *
 * `/metrics` (Prometheus text format), `/healthz` (200 while the process runs), `/ready` (503 while the process accepts
 * no new work) and `/v1/status` (JSON).
 */
class OperatorPages
{
public:
    /** Creates the pages. Both arguments must outlive this object. */
    OperatorPages(const MetricsRegistry &metrics, const NodeStatus &status);

    /** Returns the page for a GET request, or nothing if the path is not one of the pages. Callable from any thread. */
    [[nodiscard]] std::optional<HttpResponse> respondTo(const HttpRequest &request) const;

private:
    const MetricsRegistry &m_metrics;
    const NodeStatus &m_status;
};

} // namespace lagoonroute
