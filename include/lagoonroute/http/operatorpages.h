#pragma once

#include <lagoonroute/http/httpmessage.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/observation/nodestatus.h>

#include <optional>

namespace lagoonroute
{

/**
 * The pages that every process serves to operators and balancers.
 *
 * `/metrics` in the Prometheus text format, `/healthz` (200 while the process lives), `/ready` (503 while it takes no
 * new work) and `/v1/status` as JSON.
 */
class OperatorPages
{
public:
    /** Creates the pages; both arguments must outlive them. */
    OperatorPages(const MetricsRegistry &metrics, const NodeStatus &status);

    /** Returns the page at the request's path, or nothing when it is none of these. Callable from any thread. */
    [[nodiscard]] std::optional<HttpResponse> respondTo(const HttpRequest &request) const;

private:
    const MetricsRegistry &m_metrics;
    const NodeStatus &m_status;
};

} // namespace lagoonroute
