#pragma once

#include "configcommand.h"

#include <lagoonroute/configuration/configurationmodel.h>

#include <string>

namespace lagoonroute
{

/** Returns the name of a flag that a submission lacks, or an empty text. */
std::string missingSubmitFlag(const ConfigOptions &options);

/** Submits a configuration in place of the reviewed revision, and prints what became of it. */
ConfigExit submitConfiguration(const Configuration &configuration, const ConfigOptions &options, const ConfigPorts &ports);

/** Submits the content of an earlier revision as a new one. */
ConfigExit rollBack(const ConfigOptions &options, const ConfigPorts &ports);

/** Prints the newest changes: who, when, why, from which revision to which, and what. */
ConfigExit printHistory(const ConfigOptions &options, const ConfigPorts &ports);

} // namespace lagoonroute
