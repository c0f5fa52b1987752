#include "directsimulation.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

const Duration orderTimeout = UpstreamCore::Options().orderTimeout;

} // namespace

bool DirectSimulation::drawLostOrder()
{
    return m_lostShare > 0 && static_cast<double>(m_random() % 10'000) < m_lostShare * 10'000;
}

template <typename Answer>
void DirectSimulation::answerOrder(std::size_t agent, std::uint64_t life, const Answer &answer)
{
    onNode(m_agents[agent], life, [this, agent, answer] {
        m_agents[agent].core->handle(answer, m_now, m_agents[agent].actions);
        actAgent(agent);
    });
}

void DirectSimulation::order(std::size_t agent, const OrderStart &start)
{
    ++m_messages;
    const std::uint64_t life = m_agents[agent].life;
    const bool isLost = drawLostOrder();
    const Duration delay = isLost && m_isCarriedOutLate ? Duration(2s) + Duration(static_cast<Duration::rep>(m_random() % 10'000'000)) : m_options.orderHop;
    after(delay, [this, agent, start, life, isLost] {
        AgentHost &host = m_agents[agent];
        StartAnswered answer{ start.task, start.run, OrderResult::Refused };
        if (host.isUpstreamUp) {
            const auto before = host.upstream->running();
            answer.result = host.upstream->start(start, m_now);
            if (answer.result == OrderResult::Accepted && std::find(before.begin(), before.end(), start.task) == before.end()) {
                noteStart(agent, start.task);
            }
            upstreamChanged(agent);
        }
        if (!isLost) {
            after(m_options.orderHop, [this, agent, life, answer] { answerOrder(agent, life, answer); });
        }
    });
    if (isLost) {
        after(orderTimeout, [this, agent, life, start] { answerOrder(agent, life, StartAnswered{ start.task, start.run, OrderResult::NoAnswer }); });
    }
}

void DirectSimulation::order(std::size_t agent, const OrderStop &stop)
{
    ++m_messages;
    const std::uint64_t life = m_agents[agent].life;
    const bool isLost = drawLostOrder();
    const Duration delay = isLost && m_isCarriedOutLate ? Duration(2s) + Duration(static_cast<Duration::rep>(m_random() % 10'000'000)) : m_options.orderHop;
    after(delay, [this, agent, stop, life, isLost] {
        AgentHost &host = m_agents[agent];
        StopAnswered answer{ stop.task, stop.run, OrderResult::Refused };
        if (host.isUpstreamUp) {
            answer.result = host.upstream->stop(stop, m_now);
            upstreamChanged(agent);
        }
        if (!isLost) {
            after(m_options.orderHop, [this, agent, life, answer] { answerOrder(agent, life, answer); });
        }
    });
    if (isLost) {
        after(orderTimeout, [this, agent, life, stop] { answerOrder(agent, life, StopAnswered{ stop.task, stop.run, OrderResult::NoAnswer }); });
    }
}

void DirectSimulation::order(std::size_t agent, const OrderStatusQuery &query)
{
    ++m_messages;
    const std::uint64_t life = m_agents[agent].life;
    if (drawLostOrder()) {
        after(UpstreamCore::Options().statusQueryTimeout(query),
              [this, agent, life, query] { answerOrder(agent, life, StatusQueryAnswered{ .query = query.query, .result = OrderResult::NoAnswer }); });
        return;
    }
    after(m_options.orderHop, [this, agent, query, life] {
        AgentHost &host = m_agents[agent];
        if (!host.isUpstreamUp) {
            after(m_options.orderHop,
                  [this, agent, life, query] { answerOrder(agent, life, StatusQueryAnswered{ .query = query.query, .result = OrderResult::Refused }); });
            return;
        }
        StatusQueryAnswered answer = host.upstream->queryStatus(query, m_now);
        upstreamChanged(agent);
        if (query.wait > 0ms && answer.result == OrderResult::Accepted && answer.ended.empty()) {
            host.queries.push_back({ query, life });
            after(query.wait, [this, agent, number = query.query, life] {
                AgentHost &later = m_agents[agent];
                const auto waiting = std::find_if(
                    later.queries.begin(), later.queries.end(), [&](const auto &other) { return other.life == life && other.order.query == number; });
                if (waiting != later.queries.end() && later.isUpstreamUp) {
                    const StatusQueryAnswered late = later.upstream->queryStatus(waiting->order, m_now);
                    later.queries.erase(waiting);
                    after(m_options.orderHop, [this, agent, life, late] { answerOrder(agent, life, late); });
                }
            });
            return;
        }
        after(m_options.orderHop, [this, agent, life, answer] { answerOrder(agent, life, answer); });
    });
}

void DirectSimulation::upstreamChanged(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    host.upstream->advance(m_now);
    if (host.upstream->wasOverfull()) {
        violate("upstream " + std::to_string(agent) + " was over its capacity");
    }
    std::vector<AgentHost::WaitingQuery> waiting;
    for (const auto &query : host.queries) {
        const StatusQueryAnswered answer
            = host.upstream->queryStatus(OrderStatusQuery{ query.order.header, query.order.query, query.order.lastSeenEnd, std::nullopt, 0ms }, m_now);
        if (answer.ended.empty()) {
            waiting.push_back(query);
            continue;
        }
        after(m_options.orderHop, [this, agent, life = query.life, answer] { answerOrder(agent, life, answer); });
    }
    host.queries = std::move(waiting);
    const auto next = host.upstream->nextEnd();
    if (next && (!host.upstreamWake || *host.upstreamWake <= m_now || *next < *host.upstreamWake)) {
        host.upstreamWake = std::max(*next, m_now + Duration(1));
        at(*host.upstreamWake, [this, agent] {
            if (m_agents[agent].isUpstreamUp) {
                upstreamChanged(agent);
            }
        });
    }
}

void DirectSimulation::report(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    if (host.isUpstreamUp) {
        const UpstreamReport said = host.upstream->report(host.isDraining, ++host.reports);
        onNode(host, host.life, [this, agent, said] {
            m_agents[agent].core->handle(said, m_now, m_agents[agent].actions);
            actAgent(agent);
        });
    }
    after(m_options.reportInterval, [this, agent] { report(agent); });
}

void DirectSimulation::noteStart(std::size_t agent, const DirectTaskId &task)
{
    ++m_starts[task];
    if (m_refusedJobs.count(task.job) != 0) {
        violate("a task of " + task.job + " started after the job was answered as not run");
    }
    for (std::size_t other = 0; other < m_agents.size(); ++other) {
        if (other == agent || !m_agents[other].isUpstreamUp) {
            continue;
        }
        m_agents[other].upstream->advance(m_now);
        const auto running = m_agents[other].upstream->running();
        if (std::find(running.begin(), running.end(), task) != running.end()) {
            violate("task " + task.job + "." + std::to_string(task.index) + " runs on upstreams " + std::to_string(other) + " and " + std::to_string(agent)
                    + " at " + std::to_string(m_now.time_since_epoch().count()));
        }
    }
}

} // namespace lagoonroute
