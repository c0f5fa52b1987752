#include "solo.h"

#include "stopsignal.h"

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/app/sampleupstream.h>
#include <lagoonroute/base/errors.h>

#include <iostream>
#include <memory>
#include <vector>

namespace lagoonroute
{

namespace
{

constexpr std::uint16_t slotsPerAgent = 8;

/** Returns the settings of the agent with the given number, from 1. */
Settings agentSettings(const Settings &shared, std::size_t number)
{
    Settings settings = shared;
    settings.node = shared.node + "-agent-" + std::to_string(number);
    settings.rack = "rack-" + std::to_string(number);
    settings.peer = { shared.peer.ip, static_cast<std::uint16_t>(shared.peer.port + number) };
    settings.http = { shared.http.ip, static_cast<std::uint16_t>(shared.http.port + number) };
    return settings;
}

} // namespace

void runSolo(const Settings &settings, std::size_t agents)
{
    Settings shared = settings;
    shared.contacts.push_back(settings.peer);
    const std::string firstAgent = agentSettings(shared, 1).node;
    for (const ServiceRules &rules : settings.services) {
        shared.views.push_back(ShardView{ { rules.name(), 0 }, 1, NodeId::fromName(firstAgent), NodeId{} });
    }

    std::vector<std::unique_ptr<AgentNode>> agentNodes;
    std::vector<std::unique_ptr<SampleUpstream>> upstreams;
    for (std::size_t number = 1; number <= agents; ++number) {
        agentNodes.push_back(std::make_unique<AgentNode>(agentSettings(shared, number)));
        upstreams.push_back(std::make_unique<SampleUpstream>(settings.http.ip));
        for (const ServiceRules &rules : settings.services) {
            upstreams.back()->announce(agentNodes.back()->httpAddress(), rules.name(), slotsPerAgent);
        }
    }
    const EntryNode entry(shared);
    std::cout << "serving callers at " << entry.httpAddress().ip << ":" << entry.httpAddress().port << std::endl;
    waitForStopSignal();
    std::uint64_t starts = 0;
    for (const auto &upstream : upstreams) {
        starts += upstream->starts();
    }
    std::cout << "upstream starts: " << starts << std::endl;
}

} // namespace lagoonroute
