#pragma once

#include <lagoonroute/configuration/configurationmodel.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Kind of a difference at a document path. */
enum class ChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

/** One difference between two configurations. */
struct ConfigurationChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string path; /**< Document path of the difference, as a JSON pointer. */
    std::string oldValue; /**< Value before the change, as JSON; empty for an addition. */
    std::string newValue; /**< Value after the change, as JSON; empty for a removal. */

    /** Returns one line, for example "~ /services/booking/queueLimit: 100 -> 200". */
    [[nodiscard]] std::string toString() const;

    auto operator<=>(const ConfigurationChange &) const = default;
};

/**
 * Returns the differences, sorted by document path.
 *
 * A service, availability zone, rack or worker class that exists in only one configuration is a single change with its whole
 * content. A list is compared and reported as a single value.
 */
std::vector<ConfigurationChange> diff(const Configuration &from, const Configuration &to);

/** Returns one line for each change, each with a newline at the end. */
std::string toString(const std::vector<ConfigurationChange> &changes);

} // namespace lagoonroute
