#pragma once

#include <lagoonroute/app/addresstext.h>
#include <lagoonroute/app/clientlimits.h>
#include <lagoonroute/app/decisionlog.h>
#include <lagoonroute/app/directcontacts.h>
#include <lagoonroute/app/directentrymetrics.h>
#include <lagoonroute/app/directentryoptions.h>
#include <lagoonroute/app/directloop.h>
#include <lagoonroute/app/externalprotocol.h>
#include <lagoonroute/app/externalstore.h>
#include <lagoonroute/app/zonedrainreader.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/direct/direct.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/store/keyfollower.h>
#include <lagoonroute/store/storeclient.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Process of the role `direct-entry`: serves client accounts over HTTP and sends tasks to agents over links. */
template <ExternalProtocol Protocol>
class DirectEntryNode
{
public:
    /** Opens every listener. Throws NetworkError when an address is in use, InvalidDocument when a required address is missing or malformed. */
    DirectEntryNode(DirectSettings settings, const std::string &settingsPath)
        : m_settings(std::move(settings))
        , m_limits(m_settings.memoryMb)
        , m_loop(settingsPath,
                 { [this](Instant now) { return iterate(now); },
                   {},
                   [this](Instant now) {
                       m_core.processPaused(now, m_actions);
                       performActions(now);
                   },
                   [this](Instant now) { handleStopSignal(now); },
                   [this, settingsPath] { reloadContacts(settingsPath, m_schedule, m_loop.beginEvent()); } })
        , m_core(directEntryOptions(m_settings).withMemory(m_limits.memory()))
        , m_schedule(ReconnectSchedule::Options().withSelf(m_settings.link))
        , m_routesFollower(KeyFollower::Options().withKey(Protocol::routesKey(), StorePurpose::Configuration).withSeed(seed()), routesCall)
        , m_contactsFollower(KeyFollower::Options()
                                 .withKey(entryContactsKey, StorePurpose::Contact)
                                 .withWatchWait(std::chrono::seconds(10))
                                 .withPollInterval(std::chrono::seconds(5))
                                 .withSeed(seed() + 1),
                             contactsCall)
        , m_drainReader(m_settings.zoneDrains, Protocol::zoneDrainsPrefix(), &Protocol::drainedZone, drainsCall, seed() + 2)
        , m_client(m_loop.context())
        , m_storePort(m_client, addressFromText(m_settings.store), [this] { m_loop.requestIteration(); })
        , m_store(directEntryStoreOptions(seed()), m_storePort)
        , m_links(m_loop.context(),
                  addressFromText(m_settings.link),
                  { [this](LinkId link) {
                       const Instant now = m_loop.beginEvent();
                       m_schedule.opened(link, now);
                       m_core.openLink(link, now, m_actions);
                   },
                    [this](LinkId link, LinkMessage &&message) { receive(link, std::move(message)); },
                    [this](LinkId link) { handleLinkClosed(link); },
                    [this] { m_loop.requestIteration(); } })
        , m_callerServer(m_loop.context(), m_limits.callers(m_settings.callers), [this](const std::shared_ptr<HttpExchange> &exchange) { serve(exchange); })
        , m_readinessServer(m_loop.context(), m_limits.internal(m_settings.ready), [this](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->respond(readiness(exchange->request()));
        })
    {
        if (!m_settings.metrics.empty()) {
            m_metricsServer.emplace(m_loop.context(), m_limits.internal(m_settings.metrics), [this](const auto &exchange) {
                exchange->respond(HttpResponse{ .status = 200, .contentType = "text/plain; version=0.0.4", .body = renderMetrics() });
            });
        }
        m_schedule.addAddresses(m_settings.contactAddresses(), m_loop.beginEvent());
        logLine(LogLevel::Info, "started", { { "role", "direct-entry" }, { "zone", m_settings.zone }, { "callers", m_settings.callers } });
    }

    /** Runs until the stop that a signal requested is complete. */
    void run()
    {
        m_loop.run();
        logLine(LogLevel::Info, "stopped", { { "openJobs", static_cast<std::int64_t>(m_core.openJobs()) } });
    }

private:
    static constexpr std::uint64_t routesCall = 1;
    static constexpr std::uint64_t contactsCall = 2;
    static constexpr std::uint64_t contactsSwapCall = 3;
    static constexpr std::uint64_t drainsCall = 4;
    static constexpr std::size_t maxDocumentReplicas = 3; /**< Agents that receive the configuration and pass it on to every entry. */

    struct OpenRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        Instant arrived;
    };

    /** Request that waits for the first routes. */
    struct DeferredRequest
    {
        std::shared_ptr<HttpExchange> exchange;
        Duration callerTimeout;
        Instant arrived;
    };

    [[nodiscard]] std::uint64_t seed() const
    {
        return NodeId::fromName(m_settings.node).value;
    }

    std::optional<Instant> iterate(Instant now)
    {
        const LinkEndpoint::WriteBatch batch(m_links);
        pollStore(now);
        serveDeferred(now);
        dialContacts(m_schedule, m_links, now);
        m_core.handleTimers(now, m_actions);
        performActions(now);
        for (const SendOnLink &message : m_documents.handleTimers(now)) {
            m_links.send(message.link, message.message);
        }
        if (m_stopStart) {
            const bool isWithdrawn = now >= *m_stopStart + m_settings.withdrawTime;
            if (isWithdrawn && !std::exchange(m_hasClosedIdle, true)) {
                m_callerServer.closeIdle();
            }
            if ((isWithdrawn && m_callerServer.busy() == 0) || now >= *m_stopStart + m_settings.drainLimit) {
                m_loop.finish();
            }
        }
        std::optional<Instant> wake = m_core.nextWake();
        for (const auto &other : { nextDeferredEnd(),
                                   m_routesFollower.nextWake(),
                                   m_contactsFollower.nextWake(),
                                   m_drainReader.nextWake(),
                                   m_store.nextWake(),
                                   m_schedule.nextWake(),
                                   m_documents.nextWake() }) {
            wake = !other ? wake : (!wake ? other : std::min(*wake, *other));
        }
        return wake;
    }

    void pollStore(Instant now)
    {
        m_store.drain(now, [this, now](const StoreReply &reply) {
            if (reply.number == routesCall) {
                if (const auto entry = m_routesFollower.handle(reply, now)) {
                    applyConfiguration(ConfigurationDocument{ 0, entry->value }, "store");
                }
                updateStoreContact(m_routesFollower.isInContact());
            } else if (reply.number == contactsCall) {
                const bool isNew = m_contactsFollower.handle(reply, now).has_value();
                if (isNew || !hasContact()) { // without contact, also a list that has been read before is a way back
                    addContacts(readEntryContacts(m_contactsFollower.entry().value), now);
                    addContacts(m_settings.contactAddresses(), now);
                }
                m_mayAddContact = m_contactsFollower.isInContact();
            } else if (reply.number == contactsSwapCall) {
                m_isAddingContact = false;
                m_contactsFollower.refresh(now);
            } else if (const auto drains = m_drainReader.handle(reply, now)) {
                m_core.setZoneDrains(*drains, now, m_actions);
            }
        });
        if (const auto call = m_drainReader.next(now)) {
            m_store.submit(*call, now);
        }
        for (KeyFollower *follower : { &m_routesFollower, &m_contactsFollower }) {
            if (const auto call = follower->next(now)) {
                m_store.submit(*call, now);
            }
        }
        if (m_mayAddContact && !m_isAddingContact && !m_stopStart) {
            if (const auto swap = addEntryContact(m_contactsFollower.entry(), m_settings.link)) {
                m_isAddingContact = true;
                m_mayAddContact = false;
                m_store.submit(StoreCall{ contactsSwapCall, StorePurpose::Contact, *swap }, now);
            }
        }
    }

    void updateStoreContact(bool isInContact)
    {
        if (isInContact != m_isStoreInContact) {
            m_isStoreInContact = isInContact;
            logLine(isInContact ? LogLevel::Info : LogLevel::Warning, isInContact ? "store-back" : "store-lost", { { "address", m_settings.store } });
        }
    }

    /** Returns whether there is a link to another process. */
    [[nodiscard]] bool hasContact() const
    {
        const auto &agents = m_core.agentRegistry().agents();
        return !m_entryLinks.empty() || std::any_of(agents.begin(), agents.end(), [](const auto &item) { return item.second.link != 0; });
    }

    void addContacts(const std::vector<std::string> &addresses, Instant now)
    {
        if (!m_schedule.addAddresses(readableAddresses(addresses), now)) {
            return;
        }
        std::vector<std::string> known = m_schedule.addresses(now);
        known.push_back(m_settings.link);
        for (const auto &[node, agent] : m_core.agentRegistry().agents()) {
            if (agent.link != 0) {
                m_links.send(agent.link, EntryList{ known });
            }
        }
        for (const auto &[link, name] : m_entryLinks) {
            m_links.send(link, EntryList{ known });
        }
    }

    void applyConfiguration(ConfigurationDocument offered, const std::string &source)
    {
        if (offered.version != 0 && offered.version <= m_documents.current().version) {
            return;
        }
        auto routes = Protocol::routes(offered.document);
        if (!routes) {
            logLine(LogLevel::Warning, "configuration-unreadable", { { "source", source }, { "bytes", static_cast<std::int64_t>(offered.document.size()) } });
            return;
        }
        const std::uint64_t version = routes->version();
        if (!m_core.setRoutes(std::move(*routes), m_actions)) {
            return;
        }
        logLine(LogLevel::Info, "configuration", { { "version", static_cast<std::int64_t>(version) }, { "source", source } });
        m_documents.update(ConfigurationDocument{ version, std::move(offered.document) });
        m_loop.requestIteration();
    }

    /** Subscribes the agents that store the newest configuration. Other entries choose the same agents. */
    void chooseDocumentReplicas()
    {
        std::size_t replicas = 0;
        for (const auto &[node, agent] : m_core.agentRegistry().agents()) {
            if (agent.link != 0 && replicas < maxDocumentReplicas) {
                ++replicas;
                m_documents.subscribe(agent.link);
            }
        }
    }

    void receive(LinkId link, LinkMessage &&message)
    {
        const Instant now = m_loop.beginEvent();
        if (const auto *hello = std::get_if<EntryHello>(&message)) {
            m_entryLinks[link] = hello->node;
            std::set<std::string> peers;
            for (const auto &[other, name] : m_entryLinks) {
                peers.insert(name);
            }
            m_core.setPeers(peers.size());
            addContacts({ hello->address }, now);
            m_documents.subscribe(link);
        } else if (const auto *notice = std::get_if<DocumentNotice>(&message)) {
            m_documents.noticeReceived(link, notice->version, now);
        } else if (std::holds_alternative<DocumentRequest>(message)) {
            m_documents.requestReceived(link);
        } else if (auto *offered = std::get_if<ConfigurationDocument>(&message)) {
            m_documents.noticeReceived(link, offered->version, now);
            applyConfiguration(std::move(*offered), "link");
        } else if (const auto *list = std::get_if<EntryList>(&message)) {
            addContacts(list->addresses, now);
        }
        m_core.receive(link, message, now, m_actions);
        if (std::holds_alternative<AgentHello>(message)) {
            std::vector<std::string> known = m_schedule.addresses(now);
            known.push_back(m_settings.link);
            m_links.send(link, EntryList{ known });
            chooseDocumentReplicas();
        }
    }

    void handleLinkClosed(LinkId link)
    {
        const Instant now = m_loop.beginEvent();
        removeLink(link, now);
        m_core.closeLink(link, now, m_actions);
        chooseDocumentReplicas();
    }

    void removeLink(LinkId link, Instant now)
    {
        m_documents.linkClosed(link);
        m_entryLinks.erase(link);
        m_schedule.closed(link, now);
    }

    void serve(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Instant now = m_loop.beginEvent();
        const CallerRequest request = Protocol::callerRequest(exchange->request());
        if (m_core.routesAwaitedUntil(now, request.callerTimeout)) {
            m_deferredRequests.push_back({ exchange, request.callerTimeout, now });
            exchange->watchForClose([this, deferred = exchange.get()] {
                std::erase_if(m_deferredRequests, [deferred](const DeferredRequest &other) { return other.exchange.get() == deferred; });
            });
            m_loop.requestIteration();
            return;
        }
        serve(exchange, request, now, now);
    }

    void serve(const std::shared_ptr<HttpExchange> &exchange, CallerRequest request, Instant arrived, Instant now)
    {
        if (m_core.routes().version() == 0) {
            logLine(LogLevel::Info, "no-configuration", { { "host", request.host }, { "path", request.path } });
            exchange->respond(Protocol::response(DirectAnswer{ DirectVerdict::NotRun, "no-configuration", std::chrono::seconds(1) }));
            return;
        }
        const RouteRule *route = m_core.routes().find(request.host, request.path);
        if (route == nullptr) {
            logLine(LogLevel::Info, "unknown-route", { { "host", request.host }, { "path", request.path } });
            exchange->respond(Protocol::response(DirectAnswer{ DirectVerdict::UnknownRoute, "unknown-route", Duration(0) }));
            return;
        }
        request.id = request.path.substr(route->prefix.size());
        switch (request.kind) {
        case CallerRequestKind::Submit:
            submit(exchange, request, *route, arrived, now);
            break;
        case CallerRequestKind::State:
            exchange->respond(request.id.empty() ? Protocol::waitingResponse(m_core.waiting(route->name)) : Protocol::unknownJob());
            break;
        case CallerRequestKind::Cancel:
            exchange->respond(Protocol::unknownJob());
            break;
        case CallerRequestKind::Malformed:
            exchange->respond(Protocol::response(DirectAnswer{ DirectVerdict::Malformed, request.fault, Duration(0) }));
            break;
        }
    }

    /** Serves the requests that arrived before the first routes, once routes are known or the wait for them is over. */
    void serveDeferred(Instant now)
    {
        std::vector<DeferredRequest> due;
        for (auto request = m_deferredRequests.begin(); request != m_deferredRequests.end();) {
            const auto until = m_core.routesAwaitedUntil(request->arrived, request->callerTimeout);
            if (until && now < *until) {
                ++request;
                continue;
            }
            due.push_back(std::move(*request));
            request = m_deferredRequests.erase(request);
        }
        if (due.empty()) {
            return;
        }
        logLine(LogLevel::Info,
                "early-requests",
                { { "requests", static_cast<std::int64_t>(due.size()) }, { "routes", static_cast<std::int64_t>(m_core.routes().version()) } });
        for (const DeferredRequest &request : due) {
            serve(request.exchange, Protocol::callerRequest(request.exchange->request()), request.arrived, now);
        }
    }

    /** Returns when the next request gives up its wait for the first routes. */
    [[nodiscard]] std::optional<Instant> nextDeferredEnd() const
    {
        std::optional<Instant> earliest;
        for (const DeferredRequest &request : m_deferredRequests) {
            const auto until = m_core.routesAwaitedUntil(request.arrived, request.callerTimeout);
            earliest = !earliest || (until && *until < *earliest) ? until : earliest;
        }
        return earliest;
    }

    void submit(const std::shared_ptr<HttpExchange> &exchange, const CallerRequest &request, const RouteRule &route, Instant arrived, Instant now)
    {
        if (!exchange->isClientConnected()) {
            m_metrics.counter("lagoonroute_disconnected_total").add();
            logLine(LogLevel::Info, "caller-disconnected", { { "job", request.id }, { "route", route.name } });
            exchange->respond(Protocol::response(DirectAnswer{ DirectVerdict::NotRun, "disconnected", std::chrono::seconds(1) }));
            return;
        }
        const std::string body = exchange->takeBody();
        const std::optional<DirectJob> job = body.size() <= m_core.routes().limits().maxBodyBytes ? Protocol::job(body, request.id) : std::nullopt;
        if (!job) {
            logLine(LogLevel::Info, "malformed-job", { { "job", request.id }, { "route", route.name } });
            exchange->respond(Protocol::response(DirectAnswer{ DirectVerdict::Malformed, "the body is no job", Duration(0) }));
            return;
        }
        const RequestId id = ++m_lastRequestId;
        m_requests[id] = OpenRequest{ exchange, arrived };
        m_metrics.counter("lagoonroute_submissions_total").add();
        m_core.submit(ReceivedSubmission{ id, arrived, request.callerTimeout }, route, *job, now, m_actions);
        performActions(now);
        if (m_requests.count(id) != 0) {
            exchange->watchForClose([this, id] {
                if (m_requests.erase(id) != 0) {
                    m_metrics.counter("lagoonroute_abandoned_total").add();
                    m_core.requestClosed(id, m_loop.beginEvent(), m_actions);
                    m_loop.requestIteration();
                }
            });
        }
        m_loop.requestIteration();
    }

    HttpResponse readiness(const HttpRequest &request)
    {
        if (!Protocol::isReadyRequest(request)) {
            return HttpResponse{ .status = 404 };
        }
        const bool isReady = !m_stopStart && m_core.routes().version() != 0 && m_core.agentRegistry().openAgents() > 0;
        if (isReady != m_wasReady) {
            m_wasReady = isReady;
            logLine(LogLevel::Info, isReady ? "ready" : "not-ready", { { "agents", static_cast<std::int64_t>(m_core.agentRegistry().openAgents()) } });
        }
        return HttpResponse{ .status = isReady ? 200U : 503U };
    }

    void performActions(Instant now)
    {
        for (std::size_t index = 0; index < m_actions.size(); ++index) {
            EntryAction action = std::move(m_actions[index]);
            if (auto *send = std::get_if<SendOnLink>(&action)) {
                m_links.send(send->link, send->message);
            } else if (auto *close = std::get_if<CloseLink>(&action)) {
                m_links.close(close->link);
                removeLink(close->link, now);
            } else if (auto *answer = std::get_if<AnswerRequest>(&action)) {
                respond(*answer, now);
            } else {
                logDecision(std::get<DecisionNote>(action));
            }
        }
        m_actions.clear();
    }

    void respond(const AnswerRequest &answer, Instant now)
    {
        const auto found = m_requests.find(answer.request);
        if (found == m_requests.end()) {
            return;
        }
        const OpenRequest open = std::move(found->second);
        m_requests.erase(found);
        const Duration age = now - open.arrived;
        m_metrics.counter("lagoonroute_answers_total", { { "verdict", std::to_string(static_cast<int>(answer.answer.verdict)) } }).add();
        m_metrics.summary("lagoonroute_answer_seconds").observe(age);
        logLine(LogLevel::Info,
                "answered",
                { { "job", answer.job },
                  { "verdict", static_cast<std::int64_t>(answer.answer.verdict) },
                  { "reason", answer.answer.reason },
                  { "afterMs", age.count() / 1000 },
                  { "routes", static_cast<std::int64_t>(m_core.routes().version()) } });
        open.exchange->respond(Protocol::response(answer.answer));
    }

    void handleStopSignal(Instant now)
    {
        if (m_stopStart) {
            m_loop.finish();
            return;
        }
        m_stopStart = now;
        m_callerServer.closeAfterResponses();
        logLine(LogLevel::Info, "stop-begun", { { "openJobs", static_cast<std::int64_t>(m_core.openJobs()) } });
    }

    std::string renderMetrics()
    {
        recordEntryMetrics(m_metrics, m_core);
        m_metrics.gauge("lagoonroute_configuration_version").set(static_cast<std::int64_t>(m_core.routes().version()));
        m_metrics.gauge("lagoonroute_store_in_contact").set(m_isStoreInContact ? 1 : 0);
        setZoneDrainMetrics(m_metrics, m_core.zoneDrains());
        m_limits.render(m_metrics, { &m_callerServer, &m_readinessServer, m_metricsServer ? &*m_metricsServer : nullptr });
        return m_metrics.render();
    }

    DirectSettings m_settings;
    ClientLimits m_limits;
    EntryActions m_actions;
    MetricsRegistry m_metrics;
    DirectLoop m_loop;
    DirectEntryCore m_core;
    ReconnectSchedule m_schedule;
    KeyFollower m_routesFollower;
    KeyFollower m_contactsFollower;
    ZoneDrainReader m_drainReader;
    HttpClient m_client;
    ExternalStore<Protocol> m_storePort;
    StoreClient<ExternalStore<Protocol>> m_store;
    std::map<RequestId, OpenRequest> m_requests;
    RequestId m_lastRequestId = 0;
    std::vector<DeferredRequest> m_deferredRequests; // requests that arrived before the first routes, in order of arrival
    std::map<LinkId, std::string> m_entryLinks; // names of other entries, by link
    DocumentExchange m_documents{ DocumentExchange::Options() };
    std::optional<Instant> m_stopStart;
    bool m_hasClosedIdle = false;
    bool m_wasReady = false;
    bool m_isStoreInContact = true;
    bool m_mayAddContact = false;
    bool m_isAddingContact = false;
    LinkEndpoint m_links;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    std::optional<HttpServer> m_metricsServer;
};

} // namespace lagoonroute
