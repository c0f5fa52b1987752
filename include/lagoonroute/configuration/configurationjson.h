#pragma once

#include <lagoonroute/configuration/configurationmodel.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Result of reading a configuration: the value, or every fault of the text. */
struct ParsedConfiguration
{
    std::optional<Configuration> configuration;
    std::vector<CheckFault> faults;
};

/**
 * Returns the configuration as canonical JSON for people: every field, defaults too, in a fixed order, indented.
 *
 * Equal configurations give equal texts, and parsing the text gives an equal configuration.
 */
std::string printConfiguration(const Configuration &configuration);

/** Returns the canonical JSON without white space, as it is stored and sent. */
std::string compactConfiguration(const Configuration &configuration);

/**
 * Reads a configuration from JSON; comments and trailing commas are allowed, absent fields take their defaults.
 *
 * Unknown and repeated fields, values of another type and values out of range are faults; all of them are reported.
 */
ParsedConfiguration parseConfiguration(std::string_view text);

/** Reads a configuration from JSON. Throws InvalidConfiguration with every fault. */
Configuration readConfiguration(std::string_view text);

} // namespace lagoonroute
