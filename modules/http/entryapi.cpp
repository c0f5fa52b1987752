#include <lagoonroute/http/entryapi.h>

#include "callerjson.h"

#include <lagoonroute/base/errors.h>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace lagoonroute
{

namespace
{

constexpr std::size_t ringCapacity = 8192;

/** Variable parts of a request target of the form /v1/services/{service}/jobs[/{key}]. */
struct JobTarget
{
    std::string service;
    std::string key;
};

std::optional<JobTarget> parseTarget(const std::string &target)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url) {
        return std::nullopt;
    }
    std::vector<std::string> parts;
    for (const auto segment : url->segments()) {
        parts.emplace_back(segment);
    }
    const bool isJobPath = (parts.size() == 4 || parts.size() == 5) && parts[0] == "v1" && parts[1] == "services" && parts[3] == "jobs";
    if (!isJobPath || parts[2].empty()) {
        return std::nullopt;
    }
    return JobTarget{ parts[2], parts.size() == 5 ? parts[4] : std::string() };
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

    void setRules(ServiceRules rules)
    {
        m_server.post([this, rules = std::move(rules)] { m_rules.insert_or_assign(rules.name(), rules); });
    }

    void removeRules(std::string service)
    {
        m_server.post([this, service = std::move(service)] { m_rules.erase(service); });
    }

    void answer(AnswerCaller answer)
    {
        m_server.post([this, answer = std::move(answer)] {
            const auto waiting = m_openExchanges.find(answer.request);
            if (waiting == m_openExchanges.end()) {
                return;
            }
            const auto exchange = waiting->second;
            m_openExchanges.erase(waiting);
            exchange->respond(jobResponse(answer.job, answer.answer));
        });
    }

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        const HttpRequest &request = exchange->request();
        if (auto page = m_pages.respondTo(request)) {
            exchange->respond(std::move(*page));
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
            enqueue(exchange, CallerLookedUp{ m_nextRequest, target->key, target->service, jobIdFor(request, *target) });
        } else if (request.method == "DELETE" && !target->key.empty()) {
            enqueue(exchange, CallerCancelled{ m_nextRequest, target->key, target->service, jobIdFor(request, *target) });
        } else {
            exchange->respond(problemResponse(405, Reason::InvalidRequest, "the method does not fit the path"));
        }
    }

    void submit(const std::shared_ptr<HttpExchange> &exchange, const std::string &service)
    {
        const auto rules = m_rules.find(service);
        if (rules == m_rules.end()) {
            exchange->respond(problemResponse(404, Reason::UnknownService, "no service of this name is defined"));
            return;
        }
        try {
            CallerSubmission submission = parseSubmission(exchange->request(), rules->second);
            if (submission.key.empty() && !submission.job.idempotent) {
                exchange->respond(problemResponse(400, Reason::MissingKey, "a request that is not idempotent needs a submission key"));
                return;
            }
            if (submission.key.empty()) {
                submission.key = "generated-" + std::to_string(m_random()) + "-" + std::to_string(m_random());
            }
            const JobId id = JobId::fromSubmission(service, submission.job.caller, submission.key);
            enqueue(exchange, CallerSubmitted{ m_nextRequest, submission.key, id, std::move(submission.job) });
        } catch (const InvalidDocument &error) {
            exchange->respond(problemResponse(400, Reason::InvalidRequest, error.what()));
        }
    }

    void enqueue(const std::shared_ptr<HttpExchange> &exchange, EntryEvent event)
    {
        const std::uint64_t number = m_nextRequest++;
        if (!m_inbound.push(std::move(event))) {
            exchange->respond(problemResponse(503, Reason::Overloaded, "the entry is busy"));
            return;
        }
        m_openExchanges.emplace(number, exchange);
        exchange->watchForClose([this, number] {
            m_openExchanges.erase(number);
            m_inbound.push(CallerLeft{ number });
        });
    }

    static JobId jobIdFor(const HttpRequest &request, const JobTarget &target)
    {
        return JobId::fromSubmission(target.service, callerName(request), target.key);
    }

    BoundedRing<EntryEvent> m_inbound;
    std::uint64_t m_nextRequest = 1;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpExchange>> m_openExchanges;
    std::map<std::string, ServiceRules> m_rules;
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

void EntryApi::setRules(ServiceRules rules)
{
    m_implementation->setRules(std::move(rules));
}

void EntryApi::removeRules(std::string service)
{
    m_implementation->removeRules(std::move(service));
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
