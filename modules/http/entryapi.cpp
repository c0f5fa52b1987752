#include <lagoonroute/http/entryapi.h>

#include "callerjson.h"

#include <lagoonroute/base/errors.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <random>
#include <string>
#include <unordered_map>

namespace lagoonroute
{

namespace
{

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t maxKeyBytes = 255;
constexpr const char *defaultCaller = "anonymous";

/** Parts of a target of the form /v1/services/{service}/jobs[/{key}]. */
struct JobTarget
{
    std::string service;
    std::string key;
};

std::optional<JobTarget> parseTarget(const std::string &target)
{
    std::vector<std::string> parts;
    boost::split(parts, target, boost::is_any_of("/"));
    const bool hasShape = (parts.size() == 5 || parts.size() == 6) && parts[0].empty() && parts[1] == "v1" && parts[2] == "services" && parts[4] == "jobs";
    if (!hasShape || parts[3].empty()) {
        return std::nullopt;
    }
    return JobTarget{ parts[3], parts.size() == 6 ? parts[5] : std::string() };
}

} // namespace

class EntryApi::Implementation
{
public:
    Implementation(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal)
        : m_inbound(ringCapacity, inboundSignal)
        , m_pages(pages)
        , m_server(options, [this](const std::shared_ptr<HttpExchange> &exchange) { handle(exchange); })
    {
    }

    BoundedRing<EntryEvent> &inbound()
    {
        return m_inbound;
    }

    HttpServer &server()
    {
        return m_server;
    }

    void answer(AnswerCaller answer)
    {
        m_server.post([this, answer = std::move(answer)] {
            const auto waiting = m_waiting.find(answer.request);
            if (waiting == m_waiting.end()) {
                return;
            }
            const auto exchange = waiting->second;
            m_waiting.erase(waiting);
            exchange->respond(responseTo(answer.job, answer.answer));
        });
    }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        if (request.target == "/healthz" || request.target == "/ready") {
            exchange->respond(HttpResponse{ .contentType = "text/plain", .body = "ok\n" });
            return;
        }
        const auto target = parseTarget(request.target);
        if (!target) {
            exchange->respond(problemResponse(404, Reason::InvalidRequest, "there is nothing at this path"));
            return;
        }
        if (request.method == "POST" && target->key.empty()) {
            submit(exchange, target->service);
        } else if (request.method == "GET" && !target->key.empty()) {
            enqueue(exchange, CallerLookedUp{ m_nextRequest, target->key, target->service, jobOf(request, *target) });
        } else if (request.method == "DELETE" && !target->key.empty()) {
            enqueue(exchange, CallerCancelled{ m_nextRequest, target->key, target->service, jobOf(request, *target) });
        } else {
            exchange->respond(problemResponse(405, Reason::InvalidRequest, "the method does not fit the path"));
        }
    }

    void submit(const std::shared_ptr<HttpExchange> &exchange, const std::string &service)
    {
        const HttpRequest &request = exchange->request();
        JobRequest job;
        try {
            job = parseJobRequest(request.body);
        } catch (const InvalidDocument &error) {
            exchange->respond(problemResponse(400, Reason::InvalidRequest, error.what()));
            return;
        }
        job.service = service;
        job.caller = callerOf(request);
        std::string key = fieldValue(request.fields, "Idempotency-Key");
        if (key.size() > maxKeyBytes) {
            exchange->respond(problemResponse(400, Reason::InvalidRequest, "the submission key is longer than " + std::to_string(maxKeyBytes) + " bytes"));
            return;
        }
        if (key.empty() && !job.idempotent) {
            exchange->respond(problemResponse(400, Reason::MissingKey, "a request that is not idempotent needs an Idempotency-Key"));
            return;
        }
        if (key.empty()) {
            key = "generated-" + std::to_string(m_random()) + "-" + std::to_string(m_random());
        }
        const JobId id = JobId::fromSubmission(service, job.caller, key);
        enqueue(exchange, CallerSubmitted{ m_nextRequest, key, id, std::move(job) });
    }

    void enqueue(const std::shared_ptr<HttpExchange> &exchange, EntryEvent event)
    {
        const std::uint64_t number = m_nextRequest++;
        if (!m_inbound.push(std::move(event))) {
            exchange->respond(problemResponse(503, Reason::Overloaded, "the entry is busy"));
            return;
        }
        m_waiting.emplace(number, exchange);
        exchange->watchForClose([this, number] {
            m_waiting.erase(number);
            m_inbound.push(CallerLeft{ number });
        });
    }

    static std::string callerOf(const HttpRequest &request)
    {
        const std::string caller = fieldValue(request.fields, "Lagoonroute-Caller");
        return caller.empty() ? defaultCaller : caller;
    }

    static JobId jobOf(const HttpRequest &request, const JobTarget &target)
    {
        return JobId::fromSubmission(target.service, callerOf(request), target.key);
    }

    BoundedRing<EntryEvent> m_inbound;
    std::uint64_t m_nextRequest = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpExchange>> m_waiting;
    std::mt19937_64 m_random{ std::random_device{}() };
    const OperatorPages &m_pages;
    HttpServer m_server;
};

EntryApi::EntryApi(const HttpServer::Options &options, const OperatorPages &pages, WakeSignal &inboundSignal)
    : m_implementation(std::make_unique<Implementation>(options, pages, inboundSignal))
{
}

EntryApi::~EntryApi() = default;

NodeAddress EntryApi::address() const
{
    return m_implementation->server().address();
}

void EntryApi::answer(AnswerCaller answer)
{
    m_implementation->answer(std::move(answer));
}

void EntryApi::closeAfterResponses()
{
    m_implementation->server().closeAfterResponses();
}

std::size_t EntryApi::busy() const noexcept
{
    return m_implementation->server().busy();
}

BoundedRing<EntryEvent> &EntryApi::inbound()
{
    return m_implementation->inbound();
}

} // namespace lagoonroute
