#pragma once

#include <lagoonroute/app/directsettings.h>
#include <lagoonroute/direct/directentrycore.h>
#include <lagoonroute/store/storeclientcore.h>

#include <cstdint>

namespace lagoonroute
{

/** Returns the options of the core of a direct entry with the given settings. */
DirectEntryCore::Options directEntryOptions(const DirectSettings &settings);

/** Returns the budget for the store calls of a direct entry. */
StoreClientCore::Options directEntryStoreOptions(std::uint64_t seed);

} // namespace lagoonroute
