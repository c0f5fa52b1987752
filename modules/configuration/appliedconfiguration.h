#pragma once

#include <lagoonroute/configuration/configurationcore.h>
#include <lagoonroute/configuration/configurationmodel.h>

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

    /** Revision in force; 0 before the first one. */
    [[nodiscard]] Revision revision() const noexcept
    {
        return m_revision;
    }

    /** Document of the revision in force. */
    [[nodiscard]] const std::string &document() const noexcept
    {
        return m_document;
    }

private:
    Revision m_revision = 0;
    std::string m_document;
    Configuration m_configuration;
};

} // namespace lagoonroute
