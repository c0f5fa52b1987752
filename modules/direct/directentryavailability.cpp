#include <lagoonroute/direct/directentrycore.h>

#include "directtimes.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

using namespace std::chrono_literals;

/** Returns whether handshakes of agents are still expected after the startup, so that neither capacity nor rate is known. */
bool DirectEntryCore::isStarting(Instant now) const
{
    if (!m_startedAt || now >= *m_startedAt + m_options.startTime) {
        return false;
    }
    return areDrainsAwaited(now) || !m_lastOpened || now < *m_lastOpened + m_options.settleTime;
}

/** Returns whether no agent accepts starts, nor is expected to do so shortly. */
bool DirectEntryCore::isWithoutAgents(Instant now) const
{
    if (isStarting(now) || m_agentRegistry.openAgents() > 0) {
        return false;
    }
    return !m_withoutAgentsSince || now >= *m_withoutAgentsSince + m_options.reconnectTime;
}

/** Records when the last agent that accepted starts was lost. */
void DirectEntryCore::reviewOpenAgents(Instant now)
{
    if (m_agentRegistry.openAgents() > 0) {
        m_withoutAgentsSince.reset();
    } else if (m_lastOpened && !m_withoutAgentsSince) {
        m_withoutAgentsSince = now;
    }
}

/**
 * Returns whether nothing is started yet because a drain may be in force of which this process has not heard. It is at most the
 * startup: a store that is away, and neighbours without a list, must not keep the entry from working.
 */
bool DirectEntryCore::areDrainsAwaited(Instant now) const
{
    return m_drains.isEnabled() && m_drains.current().version() == 0 && (!m_startedAt || now < *m_startedAt + m_options.startTime);
}

void DirectEntryCore::setZoneDrains(const ZoneDrains &drains, Instant now, EntryActions &actions)
{
    applyDrains(m_drains.update(drains), now, actions);
}

void DirectEntryCore::exchangeDrains(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions)
{
    applyDrains(m_drains.receive(link, message), now, actions);
}

void DirectEntryCore::applyDrains(std::vector<DecisionNote> changes, Instant now, EntryActions &actions)
{
    if (!changes.empty()) {
        m_agentRegistry.setDrains(m_drains.current());
        reviewOpenAgents(now);
        m_needsPlacement = true;
    }
    for (DecisionNote &change : changes) {
        actions.emplace_back(std::move(change));
    }
    for (SendOnLink &notice : m_drains.takeNotices()) {
        actions.emplace_back(std::move(notice));
    }
}

bool DirectEntryCore::runsOnlyWhereDrained(const RouteRule &route, const DirectJob &job) const
{
    if (m_drains.current().zones().empty()) {
        return false;
    }
    return std::any_of(job.steps.begin(), job.steps.end(), [&](const DirectStep &step) {
        return m_agentRegistry.fitsOnlyWhereDrained(PlacementRequest{ .service = route.service, .need = step.need, .requiredLabel = step.requiredLabel });
    });
}

/** Returns whether a waiting job has a step that only drained zones could run. Compares it once after each change of zones or agents. */
bool DirectEntryCore::isHeldByDrain(Job &job, Instant now) const
{
    if (job.hasStarted || isStarting(now) || std::exchange(job.fitRevision, m_agentRegistry.fitRevision()) == m_agentRegistry.fitRevision()) {
        return false;
    }
    return runsOnlyWhereDrained(job.route, job.job);
}

} // namespace lagoonroute
