#include "agentprocess.h"

namespace lagoonroute
{

namespace
{

/** Time limit for handing over the shards in a planned stop. The stop continues without the handover afterwards. */
constexpr Duration handoverTimeout = std::chrono::seconds(10);

} // namespace

AgentProcess::AgentProcess(const ControlCore::Options &control, Duration offerLifetime)
    : m_cores(control, control.membership.self.id, control.membership.seed, control.membership.self.incarnation)
    , m_self(control.membership.self.id)
    , m_offers(offerLifetime)
{
}

void AgentProcess::handle(const Event &event, Instant now, std::vector<Action> &actions)
{
    m_cores.handle(event, now, actions);
    if (const auto *agentEvent = std::get_if<AgentEvent>(&event)) {
        updateOffers(*agentEvent, now, actions);
    }
    reportMirrors(now, actions);
    const auto *control = std::get_if<ControlEvent>(&event);
    if (control != nullptr && std::holds_alternative<DrainRequested>(*control)) {
        m_handoverDeadline = now + handoverTimeout;
    }
    m_isHandoverTimedOut = m_handoverDeadline && now >= *m_handoverDeadline;
}

std::optional<Instant> AgentProcess::nextWake() const
{
    std::optional<Instant> earliest = m_cores.nextWake();
    const auto consider = [&earliest](std::optional<Instant> wake) {
        if (wake && (!earliest || *wake < *earliest)) {
            earliest = wake;
        }
    };
    consider(m_offers.nextWake());
    if (!m_isHandoverTimedOut) {
        consider(m_handoverDeadline);
    }
    return earliest;
}

void AgentProcess::updateOffers(const AgentEvent &event, Instant now, std::vector<Action> &actions)
{
    bool changed = false;
    if (const auto *announced = std::get_if<UpstreamAnnounced>(&event)) {
        changed = m_offers.announce(*announced, now);
    } else if (const auto *withdrawn = std::get_if<UpstreamWithdrawn>(&event)) {
        changed = m_offers.withdraw(withdrawn->service);
    } else if (std::holds_alternative<TimeElapsed>(event)) {
        for (const std::string &service : m_offers.removeExpired(now)) {
            m_cores.tellDispatch(UpstreamWithdrawn{ service }, now, actions);
            changed = true;
        }
    }
    if (changed) {
        m_cores.tellControl(OffersChanged{ m_offers.offers() }, now, actions);
    }
}

void AgentProcess::reportMirrors(Instant now, std::vector<Action> &actions)
{
    std::vector<MirrorSynchronised> changes;
    for (const auto &[shard, view] : m_cores.control().views()) {
        if (view.home != m_self && view.mirror != m_self) {
            continue;
        }
        const std::pair<Epoch, bool> state{ view.epoch, m_cores.dispatch().isMirrorSynchronised(shard) };
        auto &reported = m_reportedMirrors[shard];
        if (reported != state) {
            reported = state;
            changes.push_back(MirrorSynchronised{ shard, state.first, state.second });
        }
    }
    for (const MirrorSynchronised &change : changes) {
        m_cores.tellControl(change, now, actions);
    }
}

} // namespace lagoonroute
