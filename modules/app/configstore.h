#pragma once

#include "configports.h"

#include <lagoonroute/configuration/storedconfiguration.h>
#include <lagoonroute/configuration/submitcore.h>

#include <optional>
#include <string>

namespace lagoonroute
{

/** The store's answer to a read of a configuration. */
struct ConfigRead
{
    bool reached = false; /**< Whether the store answered. */
    std::optional<StoredConfiguration> stored; /**< Nothing when the key does not exist. */
};

/** Reads a key, repeating a lost call a few times. Throws InvalidDocument when the value is no configuration. */
ConfigRead readStored(const std::string &key, const ConfigPorts &ports);

/** Carries out a submission, waiting longer after each failed call. */
SubmitResult carryOut(SubmitRequest request, const ConfigPorts &ports);

} // namespace lagoonroute
