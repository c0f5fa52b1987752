#include "controlobserver.h"

#include <lagoonroute/observation/log.h>

namespace lagoonroute
{

namespace
{

std::int64_t nodeNumber(NodeId node)
{
    return static_cast<std::int64_t>(node.value);
}

} // namespace

ControlObserver::ControlObserver(MetricsRegistry &metrics, NodeStatus &status)
    : m_metrics(metrics)
    , m_status(status)
    , m_datagrams(metrics.counter("lagoonroute_gossip_datagrams_sent_total"))
    , m_storeCalls(metrics.counter("lagoonroute_store_calls_total"))
{
}

void ControlObserver::observe(const ControlAction &action)
{
    if (std::holds_alternative<SendDatagram>(action)) {
        m_datagrams.add();
    } else if (std::holds_alternative<StoreCall>(action)) {
        m_storeCalls.add();
    } else if (const auto *changed = std::get_if<ViewChanged>(&action)) {
        observeView(changed->view, "view changed");
    } else if (const auto *proposed = std::get_if<ViewProposed>(&action)) {
        observeView(proposed->view, "view proposed");
    } else if (const auto *worker = std::get_if<WorkerChanged>(&action)) {
        logLine(LogLevel::Info,
                "worker changed",
                { { "service", worker->service },
                  { "worker", nodeNumber(worker->worker.node) },
                  { "slots", worker->worker.slots },
                  { "leaving", worker->worker.leaving ? 1 : 0 } });
    } else if (const auto *gone = std::get_if<WorkerRemoved>(&action)) {
        logLine(LogLevel::Warning, "worker gone", { { "service", gone->service }, { "worker", nodeNumber(gone->node) } });
    } else if (const auto *rules = std::get_if<RulesChanged>(&action)) {
        logLine(LogLevel::Info, "rules changed", { { "service", rules->rules.name() } });
    } else if (const auto *removed = std::get_if<ServiceRemoved>(&action)) {
        logLine(LogLevel::Info, "service removed", { { "service", removed->service } });
    } else if (const auto *inForce = std::get_if<RevisionInForce>(&action)) {
        m_status.setRevision(inForce->revision);
        m_metrics.gauge("lagoonroute_configuration_revision").set(static_cast<std::int64_t>(inForce->revision));
        logLine(LogLevel::Info, "configuration in force", { { "revision", static_cast<std::int64_t>(inForce->revision) } });
    } else if (const auto *audit = std::get_if<AuditRecorded>(&action)) {
        logLine(LogLevel::Info, "audit", { LogField::json("record", audit->record.toJsonLine()) });
    }
}

void ControlObserver::publish(const ControlCore &control)
{
    const auto setGauge = [this](const char *name, std::uint64_t value) { m_metrics.gauge(name).set(static_cast<std::int64_t>(value)); };
    const MembershipCounts membership = control.membership().counts();
    setGauge("lagoonroute_members", control.membership().members().size());
    setGauge("lagoonroute_gossip_sent_bytes", membership.sentBytes);
    setGauge("lagoonroute_gossip_suspicions", membership.suspicions);
    setGauge("lagoonroute_gossip_refutations", membership.refutations);
    setGauge("lagoonroute_store_circuit_open", control.store().circuit() == CircuitState::Closed ? 0 : 1);
    if (const ConfigurationCore *configuration = control.configuration()) {
        const ConfigurationCounts &counts = configuration->counts();
        setGauge("lagoonroute_configuration_applied", counts.applied);
        setGauge("lagoonroute_configuration_malformed", counts.malformed);
        setGauge("lagoonroute_configuration_lower", counts.lower);
        setGauge("lagoonroute_configuration_asked", counts.asked);
        setGauge("lagoonroute_configuration_unanswered", counts.unanswered);
        setGauge("lagoonroute_configuration_store_calls", counts.storeCalls);
    }
}

void ControlObserver::observeView(const ShardView &view, const char *event)
{
    m_metrics.gauge("lagoonroute_view_epoch", { { "service", view.key.service } }).set(static_cast<std::int64_t>(view.epoch));
    logLine(LogLevel::Info,
            event,
            { { "service", view.key.service },
              { "epoch", static_cast<std::int64_t>(view.epoch) },
              { "home", nodeNumber(view.home) },
              { "mirror", nodeNumber(view.mirror) } });
}

} // namespace lagoonroute
