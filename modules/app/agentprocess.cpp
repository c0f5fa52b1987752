#include "agentprocess.h"

#include <algorithm>

namespace lagoonroute
{

AgentProcess::AgentProcess(const ControlCore::Options &control, Duration offerLifetime)
    : m_cores(control, control.membership.self.id, control.membership.seed, control.membership.self.incarnation)
    , m_offers(offerLifetime)
{
}

void AgentProcess::handle(const Event &event, Instant now, std::vector<Action> &actions)
{
    m_cores.handle(event, now, actions);
    if (const auto *agentEvent = std::get_if<AgentEvent>(&event)) {
        updateOffers(*agentEvent, now, actions);
    }
}

std::optional<Instant> AgentProcess::nextWake() const
{
    const std::optional<Instant> cores = m_cores.nextWake();
    const std::optional<Instant> offers = m_offers.nextWake();
    if (cores && offers) {
        return std::min(*cores, *offers);
    }
    return cores ? cores : offers;
}

void AgentProcess::updateOffers(const AgentEvent &event, Instant now, std::vector<Action> &actions)
{
    bool changed = false;
    if (const auto *announced = std::get_if<UpstreamAnnounced>(&event)) {
        changed = m_offers.announce(*announced, now);
    } else if (const auto *withdrawn = std::get_if<UpstreamWithdrawn>(&event)) {
        changed = m_offers.withdraw(withdrawn->service);
    } else if (std::holds_alternative<TimeElapsed>(event)) {
        for (const std::string &service : m_offers.takeSilent(now)) {
            m_cores.tellDispatch(UpstreamWithdrawn{ service }, now, actions);
            changed = true;
        }
    }
    if (changed) {
        m_cores.tellControl(OffersChanged{ m_offers.offers() }, now, actions);
    }
}

} // namespace lagoonroute
