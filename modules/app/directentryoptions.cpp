#include <lagoonroute/app/directentryoptions.h>

#include <chrono>

namespace lagoonroute
{

DirectEntryCore::Options directEntryOptions(const DirectSettings &settings)
{
    return DirectEntryCore::Options()
        .withNode(settings.node, settings.link)
        .withIncarnation(static_cast<Incarnation>(std::chrono::system_clock::now().time_since_epoch().count()))
        .withZone(settings.zone)
        .withZoneDrains(settings.zoneDrains)
        .withCapacityReservations(settings.capacityReservations);
}

StoreClientCore::Options directEntryStoreOptions(std::uint64_t seed)
{
    // The limits allow for watches on two keys and a prefix, where each lost answer causes another read.
    return StoreClientCore::Options()
        .withReads(20, 20)
        .withWrites(2, 5)
        .withTimeout(std::chrono::milliseconds(900))
        .withBackoff(std::chrono::milliseconds(150), std::chrono::milliseconds(600))
        .withSeed(seed);
}

} // namespace lagoonroute
