#pragma once

#include <lagoonroute/app/addresstext.h>
#include <lagoonroute/app/clientlimits.h>
#include <lagoonroute/app/decisionlog.h>
#include <lagoonroute/app/directagentmetrics.h>
#include <lagoonroute/app/directcontacts.h>
#include <lagoonroute/app/directloop.h>
#include <lagoonroute/app/directsettings.h>
#include <lagoonroute/app/externalprotocol.h>
#include <lagoonroute/app/externalstore.h>
#include <lagoonroute/app/zonedrainreader.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/direct/direct.h>
#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/observation/metrics.h>
#include <lagoonroute/store/keyfollower.h>
#include <lagoonroute/store/persistedvalue.h>
#include <lagoonroute/store/storeclient.h>
#include <lagoonroute/transport/linkcodec.h>
#include <lagoonroute/transport/linkendpoint.h>

#include <memory>
#include <optional>
#include <string>

namespace lagoonroute
{

/** Process of the role `direct-agent`, the only path by which work reaches its upstream. */
template <ExternalProtocol Protocol>
class DirectAgentNode
{
public:
    /** Opens every listener. Throws NetworkError when an address is in use, InvalidDocument when a required address is missing or malformed. */
    DirectAgentNode(DirectSettings settings, const std::string &settingsPath)
        : m_settings(std::move(settings))
        , m_limits(m_settings.memoryMb)
        , m_upstream(addressFromText(m_settings.upstream))
        , m_loop(settingsPath,
                 { [this](Instant now) { return iterate(now); },
                   [this](Duration length) {
                       m_core.hostSuspended(length);
                       logLine(LogLevel::Warning, "host-suspended", { { "forMs", length.count() / 1000 } });
                   },
                   [this](Instant now) {
                       m_core.processPaused(now, m_actions);
                       performActions(now);
                   },
                   [this](Instant now) { handleStopSignal(now); },
                   [this, settingsPath] { reloadContacts(settingsPath, m_schedule, m_loop.beginEvent()); } })
        , m_core(UpstreamCore::Options()
                     .withNode(m_settings.node, m_settings.zone, static_cast<Incarnation>(MonotonicClock::nowWithSuspension().time_since_epoch().count()))
                     .withFirstToken(static_cast<std::uint64_t>(timeOfDay().time_since_epoch().count()))
                     .withLongestLease(m_settings.longestLease)
                     .withOfferLifetime(m_settings.offerLifetime)
                     .withZoneDrains(m_settings.zoneDrains))
        , m_schedule(ReconnectSchedule::Options())
        , m_entryLookup(NodeId::fromName(m_settings.node).value, contactsCall)
        , m_persistedReport("lagoonroute/upstreams/" + m_settings.node, StorePurpose::Contact, reportCall, NodeId::fromName(m_settings.node).value + 1)
        , m_client(m_loop.context())
        , m_storePort(m_client, addressFromText(m_settings.store), [this] { m_loop.requestIteration(); })
        , m_store(StoreClientCore::Options().withReads(2, 4).withSeed(NodeId::fromName(m_settings.node).value), m_storePort)
        , m_links(m_loop.context(),
                  std::nullopt,
                  { [this](LinkId link) {
                       const Instant now = m_loop.beginEvent();
                       m_schedule.opened(link, now);
                       m_core.openLink(link, now, m_actions);
                   },
                    [this](LinkId link, LinkMessage &&message) { receive(link, message); },
                    [this](LinkId link) {
                        const Instant now = m_loop.beginEvent();
                        m_schedule.closed(link, now);
                        m_core.closeLink(link, now, m_actions);
                    },
                    [this] { m_loop.requestIteration(); } })
        , m_noticeServer(
              m_loop.context(), m_limits.internal(m_settings.announce), [this](const std::shared_ptr<HttpExchange> &exchange) { handleNotice(exchange); })
    {
        if (!m_settings.metrics.empty()) {
            m_metricsServer.emplace(m_loop.context(), m_limits.internal(m_settings.metrics), [this](const auto &exchange) {
                exchange->respond(HttpResponse{ .status = 200, .contentType = "text/plain; version=0.0.4", .body = renderMetrics() });
            });
        }
        const Instant now = m_loop.beginEvent();
        m_entryLookup.setConfigured(m_settings.contactAddresses());
        m_schedule.addAddresses(m_settings.contactAddresses(), now);
        logLine(LogLevel::Info, "started", { { "role", "direct-agent" }, { "zone", m_settings.zone }, { "upstream", m_settings.upstream } });
    }

    /** Runs until the stop that a signal requested is complete. */
    void run()
    {
        m_loop.run();
        logLine(LogLevel::Info, "stopped", { { "runs", static_cast<std::int64_t>(m_core.runs()) } });
    }

private:
    static constexpr std::uint64_t contactsCall = 1;
    static constexpr std::uint64_t reportCall = 2;
    /** Delay between the end of the last run and the exit, so that the end is sent to its entry and acknowledged to the upstream. */
    static constexpr Duration exitDelay = std::chrono::milliseconds(150);

    static WallTime timeOfDay()
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }

    std::optional<Instant> iterate(Instant now)
    {
        const LinkEndpoint::WriteBatch batch(m_links);
        pollStore(now);
        lookUpEntries(now);
        dialContacts(m_schedule, m_links, now);
        m_core.handleTimers(now, m_actions);
        performActions(now);
        if (m_core.runs() > 0 || !m_idleSince) {
            m_idleSince = now;
        }
        const bool isDrained = m_core.runs() == 0 && now >= *m_idleSince + exitDelay;
        if (m_stopStart && (isDrained || now >= *m_stopStart + m_settings.drainLimit)) {
            m_loop.finish();
        }
        std::optional<Instant> wake = m_core.nextWake();
        for (const auto &other : { m_schedule.nextWake(), m_store.nextWake(), m_persistedReport.nextWake() }) {
            wake = !other ? wake : (!wake ? other : std::min(*wake, *other));
        }
        return wake;
    }

    void pollStore(Instant now)
    {
        m_store.drain(now, [this, now](const StoreReply &reply) {
            if (reply.number == contactsCall) {
                m_schedule.addAddresses(readableAddresses(m_entryLookup.handle(reply, now)), now);
            } else if (const auto value = m_persistedReport.handle(reply, now)) {
                restore(*value, now);
            }
        });
        if (const auto call = m_persistedReport.next(now)) {
            m_store.submit(*call, now);
        }
    }

    /** Restores the upstream report that an earlier incarnation of this process persisted. */
    void restore(const std::string &value, Instant now)
    {
        try {
            m_core.restoreReport(decodeUpstreamReport(value), now, m_actions);
        } catch (const MalformedMessage &error) {
            logLine(LogLevel::Warning, "kept-report-unreadable", { { "fault", error.what() } });
        }
    }

    void lookUpEntries(Instant now)
    {
        if (const auto call = m_entryLookup.next(m_core.entries() > 0, now)) {
            m_store.submit(*call, now);
        }
    }

    void receive(LinkId link, const LinkMessage &message)
    {
        const Instant now = m_loop.beginEvent();
        if (const auto *list = std::get_if<EntryList>(&message)) {
            m_schedule.addAddresses(readableAddresses(list->addresses), now);
        }
        m_core.receive(link, message, now, m_actions);
    }

    void handleNotice(const std::shared_ptr<HttpExchange> &exchange)
    {
        const Instant now = m_loop.beginEvent();
        const UpstreamNotice notice = Protocol::notice(exchange->request());
        if (const auto *report = std::get_if<UpstreamReport>(&notice)) {
            m_core.handle(*report, now, m_actions);
        } else if (const auto *left = std::get_if<UpstreamLeft>(&notice)) {
            m_core.handle(*left, now, m_actions);
        } else {
            logLine(LogLevel::Warning, "report-unreadable", { { "target", exchange->request().target } });
            exchange->respond(HttpResponse{ .status = 400 });
            return;
        }
        exchange->respond(Protocol::noticeAccepted());
        m_loop.requestIteration();
    }

    void performActions(Instant now)
    {
        for (std::size_t index = 0; index < m_actions.size(); ++index) {
            UpstreamAction action = std::move(m_actions[index]);
            if (auto *send = std::get_if<SendOnLink>(&action)) {
                m_links.send(send->link, send->message);
            } else if (auto *close = std::get_if<CloseLink>(&action)) {
                m_links.close(close->link);
                m_schedule.closed(close->link, now);
            } else if (auto *start = std::get_if<OrderStart>(&action)) {
                sendOrder(*start);
            } else if (auto *stopOrder = std::get_if<OrderStop>(&action)) {
                sendOrder(*stopOrder);
            } else if (auto *query = std::get_if<OrderStatusQuery>(&action)) {
                sendOrder(*query);
            } else if (auto *persist = std::get_if<PersistReport>(&action)) {
                m_persistedReport.set(encodeUpstreamReport(persist->report));
            } else {
                logDecision(std::get<DecisionNote>(action));
            }
        }
        m_actions.clear();
    }

    void sendOrder(const OrderStart &start)
    {
        m_metrics.counter("lagoonroute_orders_total", { { "order", "start" } }).add();
        m_client.call(
            m_upstream, Protocol::order(start), UpstreamCore::Options().orderTimeout, [this, task = start.task, run = start.run](const HttpResult &result) {
                m_core.handle(StartAnswered{ task, run, Protocol::orderResult(result) }, m_loop.beginEvent(), m_actions);
                m_loop.requestIteration();
            });
    }

    void sendOrder(const OrderStop &stopOrder)
    {
        m_metrics.counter("lagoonroute_orders_total", { { "order", "stop" } }).add();
        m_client.call(m_upstream,
                      Protocol::order(stopOrder),
                      UpstreamCore::Options().orderTimeout,
                      [this, task = stopOrder.task, run = stopOrder.run](const HttpResult &result) {
                          m_core.handle(StopAnswered{ task, run, Protocol::orderResult(result) }, m_loop.beginEvent(), m_actions);
                          m_loop.requestIteration();
                      });
    }

    void sendOrder(const OrderStatusQuery &query)
    {
        m_metrics.counter("lagoonroute_orders_total", { { "order", "look" } }).add();
        m_client.call(
            m_upstream, Protocol::order(query), UpstreamCore::Options().statusQueryTimeout(query), [this, number = query.query](const HttpResult &result) {
                StatusQueryAnswered answer = Protocol::statusQueryAnswer(result);
                answer.query = number;
                m_core.handle(answer, m_loop.beginEvent(), m_actions);
                m_loop.requestIteration();
            });
    }

    void handleStopSignal(Instant now)
    {
        if (m_stopStart) {
            m_loop.finish();
            return;
        }
        m_stopStart = now;
        m_core.beginStop(now, m_actions);
    }

    std::string renderMetrics()
    {
        m_metrics.gauge("lagoonroute_runs").set(static_cast<std::int64_t>(m_core.runs()));
        m_metrics.gauge("lagoonroute_free_processors").set(m_core.freeCapacity().cpuMillis);
        m_metrics.gauge("lagoonroute_entries").set(static_cast<std::int64_t>(m_core.entries()));
        m_metrics.gauge("lagoonroute_upstream_open").set(m_core.isOpen() ? 1 : 0);
        for (const LossEvidence evidence : { LossEvidence::NewIncarnation, LossEvidence::NotListed, LossEvidence::LeaseEnded }) {
            const MetricLabels labels{ { "evidence", std::string(lossEvidenceName(evidence)) } };
            m_metrics.gauge("lagoonroute_lost_runs", labels).set(static_cast<std::int64_t>(m_core.lostRuns(evidence)));
        }
        recordReservationMetrics(m_metrics, m_core.reservationTotals());
        setZoneDrainMetrics(m_metrics, m_core.zoneDrains());
        m_limits.render(m_metrics, { &m_noticeServer, m_metricsServer ? &*m_metricsServer : nullptr });
        return m_metrics.render();
    }

    DirectSettings m_settings;
    ClientLimits m_limits;
    NodeAddress m_upstream;
    UpstreamActions m_actions;
    MetricsRegistry m_metrics;
    DirectLoop m_loop;
    UpstreamCore m_core;
    ReconnectSchedule m_schedule;
    EntryLookup m_entryLookup;
    PersistedValue m_persistedReport;
    HttpClient m_client;
    ExternalStore<Protocol> m_storePort;
    StoreClient<ExternalStore<Protocol>> m_store;
    std::optional<Instant> m_stopStart;
    std::optional<Instant> m_idleSince; // time of the last iteration with runs, or of the first iteration
    LinkEndpoint m_links;
    HttpServer m_noticeServer;
    std::optional<HttpServer> m_metricsServer;
};

} // namespace lagoonroute
