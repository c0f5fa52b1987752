#include <lagoonroute/direct/agentregistry.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Weight of one run in the smoothed slowness of an agent. */
constexpr double slownessGain = 0.1;
/** Bounds of the smoothed slowness: a ratio beyond them is due to the task rather than to the upstream. */
constexpr double leastSlowness = 0.25;
constexpr double mostSlowness = 8;
/** Share of the expected run time by which an agent in the entry's own zone may be slower and still be preferred. */
constexpr double zonePreference = 0.03;
/** Agents in the sample for one choice, as a multiple of the agents per entry: with a multiple of 1, entries would hardly ever choose the same agent. */
constexpr double sampledAgents = 2;

bool hasLabel(const std::vector<std::string> &labels, const std::string &label)
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace

bool AgentRegistry::matches(const AgentOffer &offer, const PlacementRequest &request)
{
    return offer.service == request.service && (request.requiredLabel.empty() || hasLabel(offer.labels, request.requiredLabel));
}

AgentRegistry::Options AgentRegistry::Options::withSeed(std::uint64_t number) const
{
    Options changed = *this;
    changed.seed = number;
    return changed;
}

AgentRegistry::Options AgentRegistry::Options::withZone(std::string name) const
{
    Options changed = *this;
    changed.zone = std::move(name);
    return changed;
}

AgentRegistry::AgentRegistry(Options options)
    : m_options(std::move(options))
    , m_random(static_cast<std::minstd_rand::result_type>(m_options.seed))
    , m_health(m_options.ejection, m_options.straggler)
{
}

NodeId AgentRegistry::identify(LinkId link, const AgentHello &hello, Instant now)
{
    const NodeId node = NodeId::fromName(hello.node);
    Agent &agent = m_agents[node];
    if (agent.link != 0) {
        m_byLink.erase(agent.link);
    }
    agent.name = hello.node;
    agent.zone = hello.zone;
    agent.incarnation = hello.incarnation;
    agent.features = hello.features;
    agent.link = link;
    agent.offer = AgentOffer{};
    agent.free = Resources{};
    agent.startsHandled = 0;
    agent.unacknowledgedNeeds.clear();
    agent.runs = 0;
    agent.capacityRequest.reset();
    agent.hasExclusiveNotice = false;
    agent.lastHeartbeat = now;
    m_byLink[link] = node;
    m_health.add(node, 1);
    return node;
}

std::optional<NodeId> AgentRegistry::closeLink(LinkId link)
{
    const auto found = m_byLink.find(link);
    if (found == m_byLink.end()) {
        return std::nullopt;
    }
    const NodeId node = found->second;
    m_byLink.erase(found);
    Agent &agent = m_agents[node];
    agent.link = 0;
    agent.offer.isOpen = false;
    agent.free = Resources{};
    return node;
}

AgentRegistry::Agent *AgentRegistry::byLink(LinkId link)
{
    const auto found = m_byLink.find(link);
    return found == m_byLink.end() ? nullptr : &m_agents[found->second];
}

const AgentRegistry::Agent *AgentRegistry::find(NodeId node) const
{
    const auto found = m_agents.find(node);
    return found == m_agents.end() ? nullptr : &found->second;
}

void AgentRegistry::setOffer(LinkId link, const AgentOffer &offer)
{
    if (Agent *agent = byLink(link)) {
        agent->offer = offer;
        ++m_fitRevision;
    }
}

void AgentRegistry::setFreeCapacity(LinkId link, const AgentFreeCapacity &capacity)
{
    Agent *agent = byLink(link);
    if (agent == nullptr) {
        return;
    }
    agent->free = capacity.free;
    if (capacity.isExclusive) {
        agent->capacityRequest.reset();
        agent->hasExclusiveNotice = true;
        m_hasOutstandingRequests = true;
    }
    while (agent->startsHandled < capacity.startsHandled && !agent->unacknowledgedNeeds.empty()) {
        agent->unacknowledgedNeeds.pop_front();
        ++agent->startsHandled;
    }
}

void AgentRegistry::recordHeartbeat(LinkId link, Instant now)
{
    if (Agent *agent = byLink(link)) {
        agent->lastHeartbeat = now;
    }
}

void AgentRegistry::remove(NodeId node)
{
    const auto found = m_agents.find(node);
    if (found == m_agents.end() || found->second.link != 0) {
        return;
    }
    m_health.remove(node);
    m_agents.erase(found);
    ++m_fitRevision;
}

Resources AgentRegistry::freeCapacity(const Agent &agent)
{
    Resources free = agent.free;
    for (const Resources &need : agent.unacknowledgedNeeds) {
        free = free - need;
    }
    return free;
}

bool AgentRegistry::isUsable(const Agent &agent, Instant now) const
{
    if (agent.link == 0 || !agent.offer.isOpen || isDrained(agent) || now - agent.lastHeartbeat > m_options.suspectAfter) {
        return false;
    }
    return !agent.isOnProbation || (now >= agent.suspendedUntil && agent.runs == 0);
}

void AgentRegistry::setEntries(std::size_t count)
{
    m_sampledShare = std::min(1.0, sampledAgents / static_cast<double>(std::max<std::size_t>(1, count)));
}

std::optional<double> AgentRegistry::costOf(NodeId node, const Agent &agent, const PlacementRequest &request, Instant now) const
{
    if (!isUsable(agent, now) || !matches(agent.offer, request)) {
        return std::nullopt;
    }
    const Resources free = freeCapacity(agent);
    if (!request.need.fitsInto(free) || std::find(request.excluded.begin(), request.excluded.end(), node) != request.excluded.end()) {
        return std::nullopt;
    }
    const WorkerHealth::PlacementLimits standing = m_health.placementLimits(node, now);
    const bool isBusy = !agent.unacknowledgedNeeds.empty() || free < agent.offer.capacity;
    if (standing.allowance == 0 || (standing.allowance == 1 && isBusy)) {
        return std::nullopt;
    }
    double cost = agent.slowness * standing.slowdown;
    if (!request.preferredLabel.empty() && !hasLabel(agent.offer.labels, request.preferredLabel)) {
        cost *= m_options.nonPreferredFactor;
    }
    if (agent.zone != m_options.zone) {
        cost *= 1 + zonePreference;
    }
    // Among agents of similar speed the emptier one is preferred: other entries are less likely to fill it meanwhile.
    const double emptiness = static_cast<double>(free.cpuMillis) / std::max(1U, agent.offer.capacity.cpuMillis);
    return cost * (1 - (emptiness / 4));
}

std::optional<NodeId> AgentRegistry::choose(const PlacementRequest &request, Instant now)
{
    struct Choice
    {
        std::optional<NodeId> node;
        double cost = 0;

        void consider(NodeId other, double otherCost)
        {
            if (!node || otherCost < cost) {
                node = other;
                cost = otherCost;
            }
        }
    };
    std::uniform_real_distribution<double> draw;
    Choice sampled;
    Choice any;
    for (const auto &[node, agent] : m_agents) {
        if (const auto cost = costOf(node, agent, request, now)) {
            any.consider(node, *cost);
            if (m_sampledShare >= 1 || draw(m_random) < m_sampledShare) {
                sampled.consider(node, *cost);
            }
        }
    }
    return sampled.node ? sampled.node : any.node;
}

void AgentRegistry::startSent(NodeId node, const Resources &need)
{
    Agent &agent = m_agents[node];
    ++agent.runs;
    agent.hasExclusiveNotice = false;
    if (agent.capacityRequest && agent.capacityRequest->reserve && agent.capacityRequest->need.fitsInto(need)) {
        agent.capacityRequest->reserve = false; // the start ends the reservation at the agent
    }
    agent.unacknowledgedNeeds.push_back(need);
}

void AgentRegistry::capacityRefused(NodeId node)
{
    const auto found = m_agents.find(node);
    if (found != m_agents.end()) {
        found->second.free = Resources{};
    }
}

void AgentRegistry::recordRunEnd(NodeId node, AttemptResult result, Duration runTime, Duration expected, Instant now)
{
    const auto found = m_agents.find(node);
    if (found == m_agents.end()) {
        return;
    }
    m_health.record(node, result, runTime, expected, now);
    if (result != AttemptResult::Succeeded || expected <= Duration(0)) {
        return;
    }
    observeSlowness(node, static_cast<double>(runTime.count()) / static_cast<double>(expected.count()), slownessGain, now);
}

void AgentRegistry::observeSlowness(NodeId node, double ratio, double weight, Instant now)
{
    const auto found = m_agents.find(node);
    if (found == m_agents.end()) {
        return;
    }
    double &slowness = found->second.slowness;
    slowness = std::clamp(slowness + (weight * (std::min(ratio, mostSlowness) - slowness)), leastSlowness, mostSlowness);
    updateProbation(found->second, now);
}

void AgentRegistry::updateProbation(Agent &agent, Instant now) const
{
    if (agent.slowness >= m_options.slownessToSuspend) {
        if (!std::exchange(agent.isOnProbation, true)) {
            agent.suspendedUntil = now;
        }
    } else if (now >= agent.suspendedUntil) {
        agent.isOnProbation = false;
        agent.suspension = Duration(0);
    }
}

void AgentRegistry::suspend(NodeId node, Instant now)
{
    const auto found = m_agents.find(node);
    if (found == m_agents.end() || now < found->second.suspendedUntil) {
        return;
    }
    Agent &agent = found->second;
    agent.suspension = std::clamp(agent.suspension * 2, m_options.firstSuspension, m_options.longestSuspension);
    agent.suspendedUntil = now + agent.suspension;
    agent.isOnProbation = true;
}

void AgentRegistry::runOver(NodeId node)
{
    const auto found = m_agents.find(node);
    if (found != m_agents.end() && found->second.runs > 0) {
        --found->second.runs;
    }
}

bool AgentRegistry::couldFit(const PlacementRequest &request) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &item) {
        return matches(item.second.offer, request) && request.need.fitsInto(item.second.offer.capacity);
    });
}

std::uint64_t AgentRegistry::openCapacity(const std::string &service) const
{
    std::uint64_t sum = 0;
    for (const auto &[node, agent] : m_agents) {
        if (agent.offer.isOpen && agent.offer.service == service && !isDrained(agent)) {
            sum += agent.offer.capacity.cpuMillis;
        }
    }
    return sum;
}

std::size_t AgentRegistry::openAgents() const
{
    return static_cast<std::size_t>(
        std::count_if(m_agents.begin(), m_agents.end(), [this](const auto &item) { return item.second.offer.isOpen && !isDrained(item.second); }));
}

double AgentRegistry::slowness(NodeId node) const
{
    const Agent *agent = find(node);
    return agent == nullptr ? 1 : agent->slowness;
}

} // namespace lagoonroute
