#pragma once

#include <lagoonroute/configuration/configurationmodel.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** What happened to one place of a configuration. */
enum class ChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

/** One difference between two configurations. */
struct ConfigurationChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string place; /**< JSON pointer. */
    std::string oldValue; /**< As JSON; empty when added. */
    std::string newValue; /**< As JSON; empty when removed. */

    /** Returns one line, for example "~ /services/booking/queueLimit: 100 -> 200". */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const ConfigurationChange &) const = default;
};

/**
 * Returns the differences in the order of their places.
 *
 * A service, zone, rack or class that exists on one side only is one change, with its whole content; a list is one value.
 */
std::vector<ConfigurationChange> diff(const Configuration &from, const Configuration &to);

/** Returns one line for each change. */
std::string toString(const std::vector<ConfigurationChange> &changes);

} // namespace lagoonroute
