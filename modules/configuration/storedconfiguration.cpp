#include <lagoonroute/configuration/storedconfiguration.h>

#include "auditjson.h"
#include "fieldprinter.h"

#include <lagoonroute/configuration/configurationdiff.h>
#include <lagoonroute/configuration/configurationjson.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

/** Largest number of differences in an audit record. */
constexpr std::size_t maxAuditChanges = 100;

/** Longest line of a difference in an audit record, in bytes; a longer one is truncated. */
constexpr std::size_t maxAuditLineBytes = 1000;

json::array marksToJson(const std::vector<RevisionMark> &marks)
{
    json::array array;
    for (const RevisionMark &mark : marks) {
        array.push_back(json::object{ { "revision", mark.revision }, { "mark", mark.mark } });
    }
    return array;
}

std::vector<RevisionMark> marksFromJson(const json::value &value)
{
    std::vector<RevisionMark> marks;
    for (const json::value &entry : value.as_array()) {
        marks.push_back({ entry.at("revision").to_number<Revision>(), json::value_to<std::string>(entry.at("mark")) });
    }
    return marks;
}

StoredConfiguration parseStored(const json::value &value)
{
    StoredConfiguration stored;
    stored.audit = auditFromJson(value.at("audit"));
    stored.recentMarks = marksFromJson(value.at("recentMarks"));
    stored.configuration = readConfiguration(json::serialize(value.at("content")));
    if (digestOf(stored.configuration) != stored.audit.digest) {
        throw InvalidDocument("stored configuration: content of revision " + std::to_string(stored.audit.to) + " does not match its digest");
    }
    return stored;
}

void describeChanges(const Configuration &from, const Configuration &to, AuditRecord &audit)
{
    const std::vector<ConfigurationChange> changes = diff(from, to);
    const std::size_t included = std::min(changes.size(), maxAuditChanges);
    audit.changes.clear();
    for (std::size_t index = 0; index < included; ++index) {
        std::string line = changes[index].toString();
        if (line.size() > maxAuditLineBytes) {
            line = line.substr(0, maxAuditLineBytes) + "...";
        }
        audit.changes.push_back(std::move(line));
    }
    audit.omittedChanges = static_cast<std::uint32_t>(changes.size() - included);
}

} // namespace

std::string StoredConfiguration::markOf(Revision revision) const
{
    if (revision == audit.to) {
        return audit.mark;
    }
    const auto found = std::find_if(recentMarks.begin(), recentMarks.end(), [revision](const RevisionMark &mark) { return mark.revision == revision; });
    return found == recentMarks.end() ? std::string() : found->mark;
}

std::string StoredConfiguration::toText() const
{
    return json::serialize(json::object{ { "audit", auditToJson(audit) }, { "recentMarks", marksToJson(recentMarks) }, { "content", toJson(configuration) } });
}

StoredConfiguration StoredConfiguration::fromText(std::string_view text)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error) {
        throw InvalidDocument("stored configuration: " + error.message());
    }
    try {
        return parseStored(value);
    } catch (const InvalidDocument &) {
        throw;
    } catch (const std::exception &fault) {
        throw InvalidDocument(std::string("stored configuration: ") + fault.what());
    }
}

Digest digestOf(const Configuration &configuration)
{
    return Digest::of(compactConfiguration(configuration));
}

std::vector<RevisionMark> marksAfter(const StoredConfiguration &stored)
{
    std::vector<RevisionMark> marks = stored.recentMarks;
    marks.insert(marks.begin(), { stored.revision(), stored.audit.mark });
    marks.resize(std::min(marks.size(), StoredConfiguration::maxRecentMarks));
    return marks;
}

std::string historyKey(Revision revision)
{
    return "configuration/history/" + std::to_string(revision % historyLength);
}

StoredConfiguration succeeding(const StoredConfiguration *current, Configuration configuration, AuditRecord audit)
{
    StoredConfiguration next{ std::move(audit), std::move(configuration), {} };
    next.audit.from = current == nullptr ? 0 : current->revision();
    next.audit.to = next.audit.from + 1;
    next.audit.digest = digestOf(next.configuration);
    describeChanges(current == nullptr ? Configuration() : current->configuration, next.configuration, next.audit);
    if (current != nullptr) {
        next.recentMarks = marksAfter(*current);
    }
    return next;
}

} // namespace lagoonroute
