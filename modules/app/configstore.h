#pragma once

#include "configports.h"

#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/configuration/submitcore.h>

#include <optional>
#include <string>

namespace lagoonroute
{

/** Result of reading a configuration from the store. */
struct ConfigRead
{
    bool isStoreReached = false; /**< Whether the store answered. */
    std::optional<StoredConfiguration> stored; /**< Nothing when the key does not exist. */
};

/** Reads the configuration stored under a key, with a limited number of retries. Throws InvalidDocument for an invalid value. */
ConfigRead readConfiguration(const std::string &key, const ConfigPorts &ports);

/** Makes the store calls of a submission until its result is known. The delay doubles after each failed call. */
SubmitResult runSubmission(SubmitRequest request, const ConfigPorts &ports);

} // namespace lagoonroute
