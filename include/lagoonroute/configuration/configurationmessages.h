#pragma once

#include <lagoonroute/base/identifiers.h>

#include <compare>
#include <string>
#include <variant>

namespace lagoonroute
{

/** Requests the configuration of a peer if it is newer than the known revision. */
struct RequestConfiguration
{
    Revision knownRevision = 0;

    auto operator<=>(const RequestConfiguration &) const = default;
};

/** Answers RequestConfiguration. */
struct OfferConfiguration
{
    Revision revision = 0; /**< Revision in force at the sender. */
    std::string document; /**< StoredConfiguration as text; empty when it is not newer than the known revision. */

    auto operator<=>(const OfferConfiguration &) const = default;
};

/** Carries the changes from one revision to the next. A receiver with another revision in force requests the whole document. */
struct PatchConfiguration
{
    Revision from = 0; /**< Revision to which the patch applies. */
    Revision revision = 0; /**< Revision that the patch produces. */
    std::string patch; /**< Audit record and merge patch of the content, as JSON. */

    auto operator<=>(const PatchConfiguration &) const = default;
};

/** Message that processes exchange to distribute the configuration. */
using ConfigurationMessage = std::variant<RequestConfiguration, OfferConfiguration, PatchConfiguration>;

} // namespace lagoonroute
