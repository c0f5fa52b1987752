#include <lagoonroute/direct/directentrycore.h>

#include <utility>

namespace lagoonroute
{

DirectEntryCore::Options DirectEntryCore::Options::withNode(std::string name, std::string ownAddress) const
{
    Options changed = *this;
    changed.agentRegistry = changed.agentRegistry.withSeed(NodeId::fromName(name).value);
    changed.node = std::move(name);
    changed.address = std::move(ownAddress);
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withIncarnation(Incarnation number) const
{
    Options changed = *this;
    changed.incarnation = number;
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withCapacityReservations(bool enabled) const
{
    Options changed = *this;
    changed.capacityReservations = enabled;
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withMemory(std::shared_ptr<MemoryBudget> budget) const
{
    Options changed = *this;
    changed.jobMemory = JobMemory(std::move(budget));
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withZone(const std::string &zone) const
{
    Options changed = *this;
    changed.agentRegistry = changed.agentRegistry.withZone(zone);
    return changed;
}

DirectEntryCore::Options DirectEntryCore::Options::withZoneDrains(bool isEnabled) const
{
    Options changed = *this;
    changed.hasZoneDrains = isEnabled;
    return changed;
}

} // namespace lagoonroute
