#include "appliedconfiguration.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/storedconfiguration.h>

#include <optional>

namespace lagoonroute
{

namespace
{

std::optional<StoredConfiguration> parse(const std::string &document)
{
    try {
        return StoredConfiguration::fromText(document);
    } catch (const InvalidDocument &) {
        return std::nullopt;
    }
}

void appendChanges(const Configuration &from, const Configuration &to, std::vector<ConfigurationAction> &actions)
{
    for (const auto &[name, rules] : to.services()) {
        const auto old = from.services().find(name);
        if (old == from.services().end() || old->second != rules) {
            actions.emplace_back(ServiceRulesChanged{ rules });
        }
    }
    for (const auto &[name, rules] : from.services()) {
        if (!to.services().contains(name)) {
            actions.emplace_back(ServiceRemoved{ name });
        }
    }
}

} // namespace

void AppliedConfiguration::adopt(const std::string &document, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    const std::optional<StoredConfiguration> offered = parse(document);
    if (!offered) {
        ++counts.malformed;
        return;
    }
    if (offered->revision() <= m_revision) {
        ++counts.lower;
        return;
    }
    appendChanges(m_configuration, offered->configuration, actions);
    m_revision = offered->revision();
    m_document = document;
    m_configuration = offered->configuration;
    ++counts.applied;
    actions.emplace_back(RevisionInForce{ m_revision });
    actions.emplace_back(AuditRecorded{ offered->audit });
}

} // namespace lagoonroute
