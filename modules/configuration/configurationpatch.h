#pragma once

#include <lagoonroute/configuration/storedconfiguration.h>

#include <string>
#include <string_view>

namespace lagoonroute
{

/**
 * Returns what changes from a configuration to its successor, as JSON: the audit record and a merge patch (RFC 7396) of the
 * content. Returns an empty text when `to` is not the successor of `from`.
 */
std::string makePatch(const StoredConfiguration &from, const StoredConfiguration &to);

/** Returns the successor. Throws InvalidDocument when the patch is malformed, or leads to a faulty content or another digest. */
StoredConfiguration applyPatch(const StoredConfiguration &from, std::string_view patch);

} // namespace lagoonroute
