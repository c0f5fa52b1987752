#include "directsimulation.h"

#include <algorithm>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration redialPause = 100ms;
constexpr Duration storeTime = 5ms;

} // namespace

DirectSimulation::DirectSimulation(Options options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_entries(m_options.entries)
    , m_agents(m_options.agents)
{
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        UpstreamModel::Options upstream;
        upstream.id = "upstream-" + std::to_string(agent);
        upstream.speed = m_options.speeds[agent % m_options.speeds.size()];
        upstream.clockRate = agent % 2 == 0 ? 1 : 0.98;
        if (m_options.hasLargeUpstreams && agent % 3 == 2) {
            upstream.capacity.cpuMillis = upstream.capacity.cpuMillis * 3 / 2;
        }
        m_agents[agent].upstream = std::make_unique<UpstreamModel>(upstream, [this](const DirectTaskId &task) { return m_truth[task.job]; });
        m_agents[agent].upstream->rebirth(m_now);
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        startEntry(entry);
    }
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        startAgent(agent);
        after(Duration(static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(m_options.reportInterval.count()))),
              [this, agent] { report(agent); });
    }
}

void DirectSimulation::at(Instant when, std::function<void()> action)
{
    m_events.push(Event{ std::max(when, m_now), ++m_eventNumber, std::move(action) });
}

void DirectSimulation::after(Duration delay, std::function<void()> action)
{
    at(m_now + delay, std::move(action));
}

void DirectSimulation::runFor(Duration duration)
{
    const Instant end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

void DirectSimulation::setRoutes(const std::vector<RouteRule> &rules)
{
    m_rules = rules;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        m_entries[entry].core->setRoutes(RouteTable(1, m_rules, {}), m_entries[entry].actions);
    }
}

void DirectSimulation::startEntry(std::size_t entry)
{
    EntryHost &host = m_entries[entry];
    ++host.life;
    host.isUp = true;
    host.isFrozen = false;
    host.whileFrozen.clear();
    host.actions.clear();
    host.wake.reset();
    host.core = std::make_unique<DirectEntryCore>(
        m_options.entry.withNode("entry-" + std::to_string(entry), "10.0.0." + std::to_string(entry + 1) + ":7000").withZone("plateau"));
    host.core->setPeers(m_entries.size() - 1);
    if (!m_rules.empty()) {
        host.core->setRoutes(RouteTable(1, m_rules, {}), host.actions);
    }
    wakeEntry(entry);
}

void DirectSimulation::startAgent(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    ++host.life;
    host.isUp = true;
    host.isFrozen = false;
    host.whileFrozen.clear();
    host.actions.clear();
    host.queries.clear();
    host.wake.reset();
    host.core = std::make_unique<UpstreamCore>(UpstreamCore::Options()
                                                   .withNode("agent-" + std::to_string(agent), "plateau", host.life)
                                                   .withFirstToken(static_cast<std::uint64_t>(m_now.time_since_epoch().count() / 1000)));
    wakeAgent(agent);
    if (host.kept) {
        after(storeTime, [this, agent, life = host.life, kept = *host.kept] {
            onNode(m_agents[agent], life, [this, agent, kept] {
                m_agents[agent].core->recall(kept, m_now, m_agents[agent].actions);
                actAgent(agent);
            });
        });
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        dial(agent, entry, host.life);
    }
}

void DirectSimulation::dial(std::size_t agent, std::size_t entry, std::uint64_t life)
{
    AgentHost &host = m_agents[agent];
    if (!host.isUp || host.life != life) {
        return;
    }
    if (!m_entries[entry].isUp || isCut(entry, agent) || host.isFrozen) {
        after(redialPause, [this, agent, entry, life] { dial(agent, entry, life); });
        return;
    }
    const LinkId link = ++m_lastWire;
    m_wires[link] = Wire{ entry, agent };
    host.core->openLink(link, m_now, host.actions);
    actAgent(agent);
    const std::uint64_t entryLife = m_entries[entry].life;
    after(m_options.hop, [this, link, entry, entryLife] {
        onNode(m_entries[entry], entryLife, [this, link, entry] {
            if (m_wires[link].entryOpen) {
                m_entries[entry].core->openLink(link, m_now, m_entries[entry].actions);
                actEntry(entry);
            }
        });
    });
}

bool DirectSimulation::isCut(std::size_t entry, std::size_t agent) const
{
    const auto cut = m_cuts.find({ entry, agent });
    return cut != m_cuts.end() && cut->second > m_now;
}

void DirectSimulation::closeWire(LinkId link, bool byEntry)
{
    Wire &wire = m_wires[link];
    if (byEntry) {
        wire.entryOpen = false;
    } else {
        wire.agentOpen = false;
    }
    const std::size_t agent = wire.agent;
    const std::size_t entry = wire.entry;
    if (!byEntry) {
        const std::uint64_t life = m_agents[agent].life;
        after(redialPause, [this, agent, entry, life] { dial(agent, entry, life); });
    }
    if (isCut(entry, agent)) {
        return; // the other end is not told
    }
    after(m_options.hop, [this, link, byEntry, agent, entry] {
        Wire &closed = m_wires[link];
        if (byEntry && closed.agentOpen) {
            onNode(m_agents[agent], m_agents[agent].life, [this, link, agent, entry] {
                if (!m_wires[link].agentOpen) {
                    return;
                }
                m_wires[link].agentOpen = false;
                m_agents[agent].core->closeLink(link, m_now, m_agents[agent].actions);
                actAgent(agent);
                const std::uint64_t life = m_agents[agent].life;
                after(redialPause, [this, agent, entry, life] { dial(agent, entry, life); });
            });
        } else if (!byEntry && closed.entryOpen) {
            onNode(m_entries[entry], m_entries[entry].life, [this, link, entry] {
                if (m_wires[link].entryOpen) {
                    m_wires[link].entryOpen = false;
                    m_entries[entry].core->closeLink(link, m_now, m_entries[entry].actions);
                    actEntry(entry);
                }
            });
        }
    });
}

void DirectSimulation::wakeEntry(std::size_t entry)
{
    EntryHost &host = m_entries[entry];
    if (!host.isUp || host.isFrozen) {
        return;
    }
    host.core->elapse(m_now, host.actions);
    actEntry(entry);
}

void DirectSimulation::wakeAgent(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    if (!host.isUp || host.isFrozen) {
        return;
    }
    host.core->elapse(m_now, host.actions);
    actAgent(agent);
}

void DirectSimulation::actEntry(std::size_t entry)
{
    EntryHost &host = m_entries[entry];
    host.core->elapse(m_now, host.actions);
    for (std::size_t index = 0; index < host.actions.size(); ++index) {
        const EntryAction action = host.actions[index];
        if (const auto *send = std::get_if<SendOnLink>(&action)) {
            toAgent(send->link, send->message);
        } else if (const auto *close = std::get_if<CloseLink>(&action)) {
            closeWire(close->link, true);
        } else if (const auto *answer = std::get_if<AnswerRequest>(&action)) {
            answered(*answer);
        } else if (const auto *note = std::get_if<DecisionNote>(&action)) {
            ++m_notes[note->event];
        }
    }
    host.actions.clear();
    const std::optional<Instant> wake = host.core->nextWake();
    if (wake && (!host.wake || *host.wake <= m_now || *wake < *host.wake)) {
        host.wake = std::max(*wake, m_now + Duration(1));
        at(*host.wake, [this, entry, life = host.life] {
            if (m_entries[entry].life == life) {
                wakeEntry(entry);
            }
        });
    }
}

void DirectSimulation::actAgent(std::size_t agent)
{
    AgentHost &host = m_agents[agent];
    for (std::size_t index = 0; index < host.actions.size(); ++index) {
        const UpstreamAction action = host.actions[index];
        if (const auto *send = std::get_if<SendOnLink>(&action)) {
            toEntry(send->link, send->message);
        } else if (const auto *close = std::get_if<CloseLink>(&action)) {
            closeWire(close->link, false);
        } else if (const auto *start = std::get_if<OrderStart>(&action)) {
            order(agent, *start);
        } else if (const auto *stop = std::get_if<OrderStop>(&action)) {
            order(agent, *stop);
        } else if (const auto *query = std::get_if<OrderStatusQuery>(&action)) {
            order(agent, *query);
        } else if (const auto *keep = std::get_if<PersistReport>(&action)) {
            host.kept = keep->report;
        } else if (const auto *note = std::get_if<DecisionNote>(&action)) {
            ++m_notes[note->event];
        }
    }
    host.actions.clear();
    const std::optional<Instant> wake = host.core->nextWake();
    if (wake && (!host.wake || *host.wake <= m_now || *wake < *host.wake)) {
        host.wake = std::max(*wake, m_now + Duration(1));
        at(*host.wake, [this, agent, life = host.life] {
            if (m_agents[agent].life == life) {
                wakeAgent(agent);
            }
        });
    }
}

void DirectSimulation::toAgent(LinkId link, const LinkMessage &message)
{
    ++m_messages;
    const Wire wire = m_wires[link];
    if (isCut(wire.entry, wire.agent)) {
        return; // held up until one end gives the link up
    }
    after(m_options.hop, [this, link, message, agent = wire.agent, life = m_agents[wire.agent].life] {
        onNode(m_agents[agent], life, [this, link, message, agent] {
            if (m_wires[link].agentOpen) {
                m_agents[agent].core->receive(link, message, m_now, m_agents[agent].actions);
                actAgent(agent);
            }
        });
    });
}

void DirectSimulation::toEntry(LinkId link, const LinkMessage &message)
{
    ++m_messages;
    const Wire wire = m_wires[link];
    if (isCut(wire.entry, wire.agent)) {
        return;
    }
    after(m_options.hop, [this, link, message, entry = wire.entry, life = m_entries[wire.entry].life] {
        onNode(m_entries[entry], life, [this, link, message, entry] {
            if (m_wires[link].entryOpen) {
                m_entries[entry].core->receive(link, message, m_now, m_entries[entry].actions);
                actEntry(entry);
            }
        });
    });
}

std::size_t DirectSimulation::submit(std::size_t entry, const std::string &route, const DirectJob &job, Duration work, Duration callerTimeout, bool alwaysFails)
{
    const std::size_t position = m_submissions.size();
    m_truth[job.id] = UpstreamModel::TaskTruth{ work, job.steps.front().need, alwaysFails };
    m_jobs[job.id] = job;
    const auto rule = std::find_if(m_rules.begin(), m_rules.end(), [&](const RouteRule &other) { return other.name == route; });
    Submission submission{ .job = job.id, .route = route, .entry = entry, .at = m_now, .work = work };
    submission.isPoison = alwaysFails;
    submission.objective = Duration(static_cast<Duration::rep>(rule->stretch * static_cast<double>(work.count()))) + rule->targetLatency;
    for (const DirectStep &step : job.steps) {
        submission.tasks += step.count;
    }
    m_submissions.push_back(submission);
    m_refusedJobs.erase(job.id);
    const RequestId request = position + 1;
    m_requests[request] = position;
    onNode(m_entries[entry], m_entries[entry].life, [this, entry, request, rule = *rule, job, callerTimeout] {
        m_entries[entry].core->submit(request, rule, job, callerTimeout, m_now, m_entries[entry].actions);
        actEntry(entry);
    });
    return position;
}

std::size_t DirectSimulation::submitAgain(std::size_t entry, std::size_t submission, Duration callerTimeout, bool hasLeft)
{
    const Submission earlier = m_submissions[submission];
    if (hasLeft) {
        leave(submission);
    }
    return submit(entry, earlier.route, m_jobs[earlier.job], earlier.work, callerTimeout, m_truth[earlier.job].alwaysFails);
}

void DirectSimulation::leave(std::size_t submission)
{
    const std::size_t entry = m_submissions[submission].entry;
    m_submissions[submission].hasLeft = true;
    onNode(m_entries[entry], m_entries[entry].life, [this, entry, submission] {
        m_entries[entry].core->requestClosed(submission + 1, m_now, m_entries[entry].actions);
        actEntry(entry);
    });
}

void DirectSimulation::answered(const AnswerRequest &answer)
{
    Submission &submission = m_submissions[m_requests[answer.request]];
    if (submission.answeredAt) {
        violate("request for " + submission.job + " was answered twice");
    }
    submission.answeredAt = m_now;
    submission.answer = answer.answer;
    const bool isEachRefused = std::all_of(m_submissions.begin(), m_submissions.end(), [&](const Submission &other) {
        return other.job != submission.job || (other.answeredAt && other.answer.verdict == DirectVerdict::NotRun);
    });
    if (isEachRefused) {
        m_refusedJobs.insert(submission.job);
        const bool hasRun = std::any_of(m_starts.begin(), m_starts.end(), [&](const auto &item) { return item.first.job == submission.job; });
        if (hasRun) {
            violate("job " + submission.job + " has run and was answered as not run");
        }
    } else {
        m_refusedJobs.erase(submission.job);
    }
}

std::size_t DirectSimulation::notes(const std::string &event) const
{
    const auto found = m_notes.find(event);
    return found == m_notes.end() ? 0 : found->second;
}

std::size_t DirectSimulation::starts(const DirectTaskId &task) const
{
    const auto found = m_starts.find(task);
    return found == m_starts.end() ? 0 : found->second;
}

DirectEntryCore &DirectSimulation::entryCore(std::size_t entry)
{
    return *m_entries[entry].core;
}

UpstreamCore &DirectSimulation::agentCore(std::size_t agent)
{
    return *m_agents[agent].core;
}

void DirectSimulation::violate(const std::string &what)
{
    if (m_violations.size() < 20) {
        m_violations.push_back(what);
    }
}

} // namespace lagoonroute
