#pragma once

#include <lagoonroute/configuration/configurationmodel.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Result of parsing a configuration: the value, or every fault in the text. */
struct ParsedConfiguration
{
    std::optional<Configuration> configuration;
    std::vector<CheckFault> faults;
};

/**
 * Returns the configuration as indented canonical JSON: every field, including those with default values, in a fixed order.
 *
 * Equal configurations yield equal texts, and parsing the text yields an equal configuration.
 */
std::string printConfiguration(const Configuration &configuration);

/** Returns the canonical JSON without white space, as it is stored and sent. */
std::string compactConfiguration(const Configuration &configuration);

/**
 * Parses a configuration from JSON. Comments and trailing commas are allowed; absent fields take their default values.
 *
 * Unknown fields, repeated fields, values of the wrong type and values out of range are faults. All of them are reported,
 * except that a text with a syntax error or a repeated field is not examined further.
 */
ParsedConfiguration parseConfiguration(std::string_view text);

/** Parses a configuration from JSON like parseConfiguration(), but throws InvalidConfiguration with every fault. */
Configuration readConfiguration(std::string_view text);

} // namespace lagoonroute
