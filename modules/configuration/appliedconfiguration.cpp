#include "appliedconfiguration.h"

#include "configurationpatch.h"

#include <lagoonroute/base/errors.h>

#include <utility>

namespace lagoonroute
{

namespace
{

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
    try {
        replace(StoredConfiguration::fromText(document), counts, actions);
    } catch (const InvalidDocument &) {
        ++counts.malformed;
    }
}

void AppliedConfiguration::adopt(const PatchConfiguration &patch, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    if (!m_stored || m_stored->revision() != patch.from) {
        return;
    }
    try {
        replace(applyPatch(*m_stored, patch.patch), counts, actions);
    } catch (const InvalidDocument &) {
        ++counts.malformed;
    }
}

ConfigurationMessage AppliedConfiguration::messageFor(Revision known) const
{
    if (revision() <= known) {
        return OfferConfiguration{ revision(), {} };
    }
    if (known == m_patch.from && !m_patch.patch.empty()) {
        return m_patch;
    }
    return OfferConfiguration{ revision(), m_stored->toText() };
}

void AppliedConfiguration::replace(StoredConfiguration next, ConfigurationCounts &counts, std::vector<ConfigurationAction> &actions)
{
    if (next.revision() <= revision()) {
        ++counts.lower;
        return;
    }
    appendChanges(m_stored ? m_stored->configuration : Configuration(), next.configuration, actions);
    m_patch = { revision(), next.revision(), m_stored ? makePatch(*m_stored, next) : std::string() };
    m_stored = std::move(next);
    ++counts.applied;
    actions.emplace_back(RevisionInForce{ revision() });
    actions.emplace_back(AuditRecorded{ m_stored->audit });
}

} // namespace lagoonroute
