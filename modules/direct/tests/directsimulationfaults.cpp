#include "directsimulation.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

/** As in the process that runs the cores: without a turn for so long, links are dropped. */
constexpr Duration stallTime = 500ms;

} // namespace

void DirectSimulation::killEntry(std::size_t entry, Duration downFor)
{
    EntryHost &host = m_entries[entry];
    host.isUp = false;
    ++host.life;
    for (auto &[link, wire] : m_wires) {
        if (wire.entry == entry && wire.entryOpen) {
            closeWire(link, true);
        }
    }
    after(downFor, [this, entry] { startEntry(entry); });
}

void DirectSimulation::killAgent(std::size_t agent, Duration downFor)
{
    AgentHost &host = m_agents[agent];
    host.isUp = false;
    ++host.life;
    for (auto &[link, wire] : m_wires) {
        if (wire.agent == agent && wire.agentOpen) {
            closeWire(link, false);
        }
    }
    after(downFor, [this, agent] { startAgent(agent); });
}

void DirectSimulation::freezeEntry(std::size_t entry, Duration duration)
{
    m_entries[entry].isFrozen = true;
    m_entries[entry].frozenAt = m_now;
    after(duration, [this, entry, life = m_entries[entry].life] {
        if (m_entries[entry].life == life) {
            thaw(entry, true);
        }
    });
}

void DirectSimulation::freezeAgent(std::size_t agent, Duration duration)
{
    m_agents[agent].isFrozen = true;
    m_agents[agent].frozenAt = m_now;
    after(duration, [this, agent, life = m_agents[agent].life] {
        if (m_agents[agent].life == life) {
            thaw(agent, false);
        }
    });
}

void DirectSimulation::thaw(std::size_t index, bool isEntry)
{
    Node &node = isEntry ? static_cast<Node &>(m_entries[index]) : static_cast<Node &>(m_agents[index]);
    node.isFrozen = false;
    const bool hasStalled = m_now - node.frozenAt > stallTime;
    if (isEntry) {
        if (hasStalled) {
            m_entries[index].core->stalled(m_now, m_entries[index].actions);
        }
        actEntry(index);
    } else {
        if (hasStalled) {
            m_agents[index].core->stalled(m_now, m_agents[index].actions);
        }
        actAgent(index);
    }
    std::deque<std::function<void()>> missed;
    missed.swap(node.whileFrozen);
    for (const auto &action : missed) {
        action();
    }
    if (isEntry) {
        wakeEntry(index);
    } else {
        wakeAgent(index);
    }
}

void DirectSimulation::cutLink(std::size_t entry, std::size_t agent, Duration duration)
{
    m_cuts[{ entry, agent }] = m_now + duration;
}

void DirectSimulation::crashUpstream(std::size_t agent, Duration downFor)
{
    AgentHost &host = m_agents[agent];
    host.isUpstreamUp = false;
    for (const auto &query : std::exchange(host.queries, {})) {
        after(m_options.orderHop,
              [this, agent, query] { answerOrder(agent, query.life, StatusQueryAnswered{ .query = query.order.query, .result = OrderResult::NoAnswer }); });
    }
    after(downFor, [this, agent] {
        AgentHost &reborn = m_agents[agent];
        reborn.isUpstreamUp = true;
        reborn.reports = 0;
        reborn.upstream->rebirth(m_now);
        report(agent);
    });
}

void DirectSimulation::slowUpstream(std::size_t agent, double factor, Duration duration)
{
    m_agents[agent].upstream->setSlowdown(factor, m_now);
    upstreamChanged(agent);
    after(duration, [this, agent] {
        m_agents[agent].upstream->setSlowdown(1, m_now);
        upstreamChanged(agent);
    });
}

void DirectSimulation::failUpstream(std::size_t agent, Duration duration)
{
    m_agents[agent].upstream->setFailing(true);
    after(duration, [this, agent] { m_agents[agent].upstream->setFailing(false); });
}

void DirectSimulation::drainUpstream(std::size_t agent)
{
    m_agents[agent].isDraining = true;
}

void DirectSimulation::tellThatUpstreamLeft(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    host.core->handle(UpstreamLeft{ host.upstream->report(false, 0).id }, m_now, host.actions);
    actAgent(agent);
}

void DirectSimulation::loseOrders(double share, bool carriedOutLate, Duration duration)
{
    m_lostShare = share;
    m_isCarriedOutLate = carriedOutLate;
    after(duration, [this] { m_lostShare = 0; });
}

} // namespace lagoonroute
