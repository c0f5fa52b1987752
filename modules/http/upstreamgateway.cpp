#include <lagoonroute/http/upstreamgateway.h>

#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/httpclient.h>

#include <boost/json.hpp>

#include <map>
#include <mutex>
#include <string>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr std::size_t ringCapacity = 8192;
constexpr const char *announcePath = "/v1/announce";

/** Announcement of a service, with the address of the upstream that serves it. */
struct Announcement
{
    UpstreamAnnounced event;
    NodeAddress address;
};

std::uint16_t uint16Member(const json::object &object, const char *name, std::uint16_t defaultValue)
{
    const json::value *member = object.if_contains(name);
    return member == nullptr ? defaultValue : member->to_number<std::uint16_t>();
}

Announcement parseAnnouncement(const std::string &body)
{
    try {
        const json::value document = json::parse(body);
        const json::object &object = document.as_object();
        Announcement announcement;
        announcement.event.service = json::value_to<std::string>(object.at("service"));
        announcement.address.ip = json::value_to<std::string>(object.at("ip"));
        announcement.address.port = object.at("port").to_number<std::uint16_t>();
        announcement.event.slots = uint16Member(object, "slots", 1);
        announcement.event.connections = uint16Member(object, "connections", announcement.event.slots);
        if (const json::value *capacity = object.if_contains("capacity")) {
            const json::object &sizes = capacity->as_object();
            announcement.event.capacity = Resources{ .cpuMillis = sizes.at("cpuMillis").to_number<std::uint32_t>(),
                                                     .memoryMegabytes = sizes.at("memoryMegabytes").to_number<std::uint32_t>(),
                                                     .accelerators = uint16Member(sizes, "accelerators", 0) };
        }
        return announcement;
    } catch (const std::exception &error) {
        throw InvalidDocument(std::string("the announcement is wrong: ") + error.what());
    }
}

Reason reasonFor(HttpFailure failure)
{
    return failure == HttpFailure::TimedOut ? Reason::UpstreamTimeout : Reason::UpstreamError;
}

} // namespace

class UpstreamGateway::Implementation
{
public:
    Implementation(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal)
        : m_announcements(ringCapacity, inboundSignal)
        , m_replies(ringCapacity, inboundSignal)
        , m_pages(pages)
        , m_server(options, [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
    {
    }

    BoundedRing<AgentEvent> &announcements()
    {
        return m_announcements;
    }

    BoundedRing<AgentEvent> &replies()
    {
        return m_replies;
    }

    [[nodiscard]] NodeAddress address() const
    {
        return m_server.address();
    }

    void call(CallUpstream call)
    {
        const NodeAddress upstream = upstreamAddress(call.service);
        const Instant started = MonotonicClock::now();
        const TaskId task = call.task;
        m_client.call(upstream, requestFor("POST", call.task, call.path, std::move(call.body)), call.timeout, [this, task, started](HttpResult result) {
            report(task, std::move(result), MonotonicClock::now() - started);
        });
    }

    void stop(const StopUpstreamTask &stop)
    {
        constexpr std::chrono::seconds stopTimeout{ 2 };
        m_client.call(upstreamAddress(stop.service), requestFor("DELETE", stop.task, stop.path, {}), stopTimeout, [](const HttpResult &) {});
    }

private:
    static HttpRequest requestFor(const std::string &method, const TaskId &task, const std::string &path, std::string body)
    {
        const std::string job = task.job.toString();
        const std::string index = std::to_string(task.index);
        HttpRequest request{ .method = method, .target = path, .body = std::move(body) };
        request.fields
            = { { "Content-Type", "application/json" }, { "Lagoonroute-Job", job }, { "Lagoonroute-Task", index }, { "Idempotency-Key", job + "-" + index } };
        return request;
    }

    NodeAddress upstreamAddress(const std::string &service)
    {
        const std::lock_guard lock(m_addressMutex);
        return m_addresses[service];
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        const std::string withdrawPrefix = std::string(announcePath) + "/";
        if (request.method == "POST" && request.target == announcePath) {
            announce(exchange);
        } else if (request.method == "DELETE" && request.target.starts_with(withdrawPrefix)) {
            enqueue(exchange, UpstreamWithdrawn{ request.target.substr(withdrawPrefix.size()) });
        } else if (auto page = m_pages.respondTo(request)) {
            exchange->respond(std::move(*page));
        } else {
            exchange->respond(HttpResponse{ .status = 404 });
        }
    }

    void announce(const std::shared_ptr<HttpExchange> &exchange)
    {
        try {
            Announcement announcement = parseAnnouncement(exchange->request().body);
            {
                const std::lock_guard lock(m_addressMutex);
                m_addresses[announcement.event.service] = announcement.address;
            }
            enqueue(exchange, std::move(announcement.event));
        } catch (const InvalidDocument &error) {
            exchange->respond(HttpResponse{ .status = 400, .contentType = "text/plain", .body = error.what() });
        }
    }

    void enqueue(const std::shared_ptr<HttpExchange> &exchange, AgentEvent event)
    {
        const bool isQueued = m_announcements.push(std::move(event));
        exchange->respond(HttpResponse{ .status = isQueued ? 204U : 503U });
    }

    void report(const TaskId &task, HttpResult result, Duration runTime)
    {
        AgentEvent event;
        if (result.response) {
            event = UpstreamReplied{ task, TaskResult{ static_cast<std::uint16_t>(result.response->status), std::move(result.response->body) }, runTime };
        } else {
            event = UpstreamCallBroken{ task, result.failure != HttpFailure::NotSent, reasonFor(result.failure), runTime };
        }
        // A reply must not be lost, so this blocks while the ring is full, until the decision thread has drained it.
        m_replies.pushBlocking(std::move(event));
    }

    std::mutex m_addressMutex;
    std::map<std::string, NodeAddress> m_addresses;
    BoundedRing<AgentEvent> m_announcements;
    BoundedRing<AgentEvent> m_replies;
    HttpClient m_client;
    const OperatorPages &m_pages;
    HttpServer m_server;
};

UpstreamGateway::UpstreamGateway(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal)
    : m_implementation(std::make_unique<Implementation>(options, pages, inboundSignal))
{
}

UpstreamGateway::~UpstreamGateway() = default;

NodeAddress UpstreamGateway::address() const
{
    return m_implementation->address();
}

void UpstreamGateway::call(CallUpstream call)
{
    m_implementation->call(std::move(call));
}

void UpstreamGateway::stop(const StopUpstreamTask &task)
{
    m_implementation->stop(task);
}

BoundedRing<AgentEvent> &UpstreamGateway::announcements()
{
    return m_implementation->announcements();
}

BoundedRing<AgentEvent> &UpstreamGateway::replies()
{
    return m_implementation->replies();
}

} // namespace lagoonroute
