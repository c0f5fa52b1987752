#include "solo.h"

#include "stopsignal.h"

#include <lagoonroute/app/agentnode.h>
#include <lagoonroute/app/entrynode.h>
#include <lagoonroute/app/sampleupstream.h>
#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/store/memorystore.h>

#include <iostream>
#include <memory>
#include <vector>

namespace lagoonroute
{

namespace
{

constexpr std::uint16_t slotsPerAgent = 8;

/** Returns the settings of the agent with the given number; numbers start at 1. */
Settings agentSettings(const Settings &shared, std::size_t number)
{
    Settings settings = shared;
    settings.node = shared.node + "-agent-" + std::to_string(number);
    settings.rack = "rack-" + std::to_string(number);
    settings.peer = { shared.peer.ip, static_cast<std::uint16_t>(shared.peer.port + number) };
    settings.http = { shared.http.ip, static_cast<std::uint16_t>(shared.http.port + number) };
    return settings;
}

/** Stores the first configuration, with the given services, in an empty store. */
void storeConfiguration(const std::shared_ptr<SharedStore> &store, const std::map<std::string, ServiceRules> &services)
{
    Configuration::Builder builder;
    for (const auto &[name, rules] : services) {
        builder.withService(rules);
    }
    AuditRecord audit;
    audit.author = "solo";
    audit.reason = "services of the settings";
    audit.mark = "solo";
    WakeSignal signal;
    MemoryStore port(store, signal);
    const StoredConfiguration first = succeeding(nullptr, builder.build(), audit);
    port.submit(StoreCall{ .number = 1, .purpose = StorePurpose::Configuration, .operation = StoreSwap{ std::string(configurationKey), first.toText(), 0 } });
}

} // namespace

void runSolo(const Settings &settings, std::size_t agents)
{
    Settings shared = settings;
    shared.contacts.push_back(settings.peer);
    const auto store = std::make_shared<SharedStore>();
    storeConfiguration(store, settings.services);

    std::vector<std::unique_ptr<AgentNode>> agentNodes;
    std::vector<std::unique_ptr<SampleUpstream>> upstreams;
    for (std::size_t number = 1; number <= agents; ++number) {
        agentNodes.push_back(std::make_unique<AgentNode>(agentSettings(shared, number), store));
        upstreams.push_back(std::make_unique<SampleUpstream>(settings.http.ip));
    }
    const auto announce = [&] {
        for (std::size_t index = 0; index < agents; ++index) {
            for (const auto &[name, rules] : settings.services) {
                upstreams[index]->announce(agentNodes[index]->httpAddress(), name, slotsPerAgent);
            }
        }
    };
    announce();
    EntryNode entry(shared, store);
    entry.setReady(true);
    std::cout << "serving callers at " << entry.httpAddress().ip << ":" << entry.httpAddress().port << std::endl;
    while (!waitForStopSignal(settings.offerLifetime / 3)) {
        announce();
    }
    std::uint64_t starts = 0;
    for (const auto &upstream : upstreams) {
        starts += upstream->starts();
    }
    std::cout << "upstream starts: " << starts << std::endl;
}

} // namespace lagoonroute
