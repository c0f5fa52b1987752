#pragma once

#include <lagoonroute/configuration/configurationcore.h>
#include <lagoonroute/configuration/storedconfiguration.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Holds the configuration in force, which only a higher revision that passes every check replaces. */
class AppliedConfiguration
{
public:
    /** Applies a document if it is valid and newer, and appends the resulting actions. */
    void adopt(const std::string &document, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Applies a patch if it is valid and starts from the revision in force, and appends the resulting actions. */
    void adopt(const PatchConfiguration &patch, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Revision in force; 0 before the first one. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return m_stored ? m_stored->revision() : 0;
    }

    /** Returns the message that updates a peer from its known revision to the one in force: a patch if it applies, else the document. */
    [[nodiscard]] ConfigurationMessage messageFor(Revision known) const;

private:
    void replace(StoredConfiguration next, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    std::optional<StoredConfiguration> m_stored;
    PatchConfiguration m_patch; /**< Patch from the preceding revision; empty when that revision is not known. */
};

} // namespace lagoonroute
