#include <lagoonroute/http/operatorpages.h>

#include <boost/json.hpp>

namespace lagoonroute
{

OperatorPages::OperatorPages(const MetricsRegistry &metrics, const NodeStatus &status)
    : m_metrics(metrics)
    , m_status(status)
{
}

std::optional<HttpResponse> OperatorPages::respondTo(const HttpRequest &request) const
{
    if (request.method != "GET") {
        return std::nullopt;
    }
    if (request.target == "/healthz") {
        return HttpResponse{ .contentType = "text/plain", .body = "ok\n" };
    }
    if (request.target == "/ready") {
        const bool ready = m_status.isReady();
        return HttpResponse{ .status = ready ? 200U : 503U, .contentType = "text/plain", .body = ready ? "ready\n" : "not ready\n" };
    }
    if (request.target == "/metrics") {
        return HttpResponse{ .contentType = "text/plain; version=0.0.4", .body = m_metrics.render() };
    }
    if (request.target == "/v1/status") {
        const boost::json::object document{ { "node", m_status.node() }, { "ready", m_status.isReady() }, { "revision", m_status.revision() } };
        return HttpResponse{ .body = boost::json::serialize(document) };
    }
    return std::nullopt;
}

} // namespace lagoonroute
