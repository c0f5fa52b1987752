#pragma once

#include "configcommand.h"

#include <lagoonroute/configuration/configurationmodel.h>

#include <string>

namespace lagoonroute
{

/** Returns the name of the first required flag of a submission that is missing, or an empty string. */
std::string missingSubmitFlag(const ConfigOptions &options);

/** Submits a configuration to replace the reviewed revision, and prints the outcome. */
ConfigExit submitConfiguration(const Configuration &configuration, const ConfigOptions &options, const ConfigPorts &ports);

/** Submits the content of an earlier revision as a new revision. */
ConfigExit rollBack(const ConfigOptions &options, const ConfigPorts &ports);

/** Prints the latest changes, newest first: old and new revision, time, author, reason and differences. */
ConfigExit printHistory(const ConfigOptions &options, const ConfigPorts &ports);

} // namespace lagoonroute
