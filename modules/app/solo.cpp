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

Member agentMember(const Settings &settings, std::size_t index)
{
    Member member;
    member.name = settings.node + "-agent-" + std::to_string(index + 1);
    member.id = NodeId::fromName(member.name);
    member.address = { settings.peer.ip, static_cast<std::uint16_t>(settings.peer.port + index + 1) };
    for (const ServiceRules &rules : settings.services) {
        member.offers.push_back(ServiceOffer{ rules.name(), slotsPerAgent, slotsPerAgent, {} });
    }
    return member;
}

Settings agentSettings(const Settings &shared, const Member &member, std::uint16_t httpPort)
{
    Settings settings = shared;
    settings.node = member.name;
    settings.peer = member.address;
    settings.http = { shared.http.ip, httpPort };
    return settings;
}

} // namespace

void runSolo(const Settings &settings, std::size_t agents)
{
    Settings shared = settings;
    shared.members.push_back(Member{ .id = NodeId::fromName(settings.node), .name = settings.node, .role = NodeRole::Entry, .address = settings.peer });
    for (std::size_t index = 0; index < agents; ++index) {
        shared.members.push_back(agentMember(settings, index));
    }
    for (const ServiceRules &rules : settings.services) {
        shared.views.push_back(ShardView{ { rules.name(), 0 }, 1, shared.members.at(1).id, NodeId{} });
    }

    std::vector<std::unique_ptr<AgentNode>> agentNodes;
    std::vector<std::unique_ptr<SampleUpstream>> upstreams;
    for (std::size_t index = 0; index < agents; ++index) {
        const auto httpPort = static_cast<std::uint16_t>(settings.http.port + index + 1);
        agentNodes.push_back(std::make_unique<AgentNode>(agentSettings(shared, shared.members.at(index + 1), httpPort)));
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
