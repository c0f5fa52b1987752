#include <lagoonroute/app/sampleupstream.h>

#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/httpclient.h>

#include <boost/json.hpp>

namespace lagoonroute
{

namespace
{

constexpr std::chrono::seconds announceTimeout{ 5 };

} // namespace

SampleUpstream::SampleUpstream(const std::string &ip)
    : m_server(HttpServer::Options().withAddress({ ip, 0 }), [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
{
}

NodeAddress SampleUpstream::address() const
{
    return m_server.address();
}

std::uint64_t SampleUpstream::starts() const noexcept
{
    return m_starts;
}

void SampleUpstream::announce(const NodeAddress &agent, const std::string &service, std::uint16_t slots) const
{
    const NodeAddress own = address();
    const boost::json::object announcement{ { "service", service }, { "ip", own.ip }, { "port", own.port }, { "slots", slots }, { "connections", slots } };
    HttpRequest request{ .method = "POST", .target = "/v1/announce", .body = boost::json::serialize(announcement) };
    HttpClient client;
    const HttpResult result = client.callAndWait(agent, std::move(request), announceTimeout);
    if (!result.response || result.response->status != 204) {
        throw NetworkError("the agent at " + agent.ip + ":" + std::to_string(agent.port) + " did not accept the announcement of service \"" + service + "\"");
    }
}

void SampleUpstream::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.method == "GET") {
        exchange->respond(HttpResponse{ .body = boost::json::serialize(boost::json::object{ { "starts", m_starts.load() } }) });
        return;
    }
    if (request.method == "POST") {
        ++m_starts;
    }
    exchange->respond(HttpResponse{ .body = request.body });
}

} // namespace lagoonroute
