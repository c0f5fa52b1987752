#pragma once

#include <lagoonroute/configuration/storedconfiguration.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/**
 * Returns the changes from a configuration to its successor as JSON: the audit record and a merge patch (RFC 7396) of the
 * content. Returns an empty string when `to` is not the successor of `from`.
 */
std::string makePatch(const StoredConfiguration &from, const StoredConfiguration &to);

/**
 * Returns the successor of `from`. Throws InvalidDocument when the patch is malformed or starts from another revision, or when
 * its result fails a check or does not match the digest in the audit record.
 */
StoredConfiguration applyPatch(const StoredConfiguration &from, std::string_view patch);

} // namespace lagoonroute
