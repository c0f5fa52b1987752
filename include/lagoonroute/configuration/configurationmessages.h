#pragma once

#include <lagoonroute/base/identifiers.h>

#include <compare>
#include <string>
#include <variant>

namespace lagoonroute
{

/** Asks a peer for its configuration if that is newer than the one known. */
struct RequestConfiguration
{
    Revision knownRevision = 0;

    auto operator<=>(const RequestConfiguration &) const = default;
};

/** Answers RequestConfiguration. */
struct OfferConfiguration
{
    Revision revision = 0; /**< Revision in force at the sender. */
    std::string document; /**< StoredConfiguration as text; empty when it is not newer than the one known. */

    auto operator<=>(const OfferConfiguration &) const = default;
};

/** Passes on what changes from one revision to the next; who has another revision in force asks for the whole. */
struct PatchConfiguration
{
    Revision from = 0; /**< Revision to which the patch applies. */
    Revision revision = 0; /**< Revision to which it leads. */
    std::string patch; /**< Audit record and merge patch of the content, as JSON. */

    auto operator<=>(const PatchConfiguration &) const = default;
};

/** What processes send one another about the configuration. */
using ConfigurationMessage = std::variant<RequestConfiguration, OfferConfiguration, PatchConfiguration>;

} // namespace lagoonroute
