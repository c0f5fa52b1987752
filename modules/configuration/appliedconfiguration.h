#pragma once

#include <lagoonroute/configuration/configurationcore.h>
#include <lagoonroute/configuration/storedconfiguration.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** The configuration in force: only a higher revision that passes every check replaces it. */
class AppliedConfiguration
{
public:
    /** Takes a document, if it is readable and newer, and appends what changes by it. */
    void adopt(const std::string &document, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Takes a patch, if it is readable and applies to the revision in force, and appends what changes by it. */
    void adopt(const PatchConfiguration &patch, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    /** Revision in force; 0 before the first one. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return m_stored ? m_stored->revision() : 0;
    }

    /** Returns the message that brings a peer from the known revision to the one in force: a patch where that is enough. */
    [[nodiscard]] ConfigurationMessage messageFor(Revision known) const;

private:
    void replace(StoredConfiguration next, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions);

    std::optional<StoredConfiguration> m_stored;
    PatchConfiguration m_patch; /**< From the revision before; empty when that is not known. */
};

} // namespace lagoonroute
