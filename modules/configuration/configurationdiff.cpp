#include <lagoonroute/configuration/configurationdiff.h>

#include "fieldchecker.h"
#include "fieldprinter.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

void compareValues(const std::string &path, const json::value *from, const json::value *to, std::vector<ConfigurationChange> &changes);

void compareObjects(const std::string &path, const json::object &from, const json::object &to, std::vector<ConfigurationChange> &changes)
{
    for (const auto &entry : from) {
        compareValues(childPath(path, entry.key()), &entry.value(), to.if_contains(entry.key()), changes);
    }
    for (const auto &entry : to) {
        if (!from.contains(entry.key())) {
            compareValues(childPath(path, entry.key()), nullptr, &entry.value(), changes);
        }
    }
}

void compareValues(const std::string &path, const json::value *from, const json::value *to, std::vector<ConfigurationChange> &changes)
{
    if (from == nullptr) {
        changes.push_back({ ChangeKind::Added, path, "", json::serialize(*to) });
    } else if (to == nullptr) {
        changes.push_back({ ChangeKind::Removed, path, json::serialize(*from), "" });
    } else if (from->is_object() && to->is_object()) {
        compareObjects(path, from->get_object(), to->get_object(), changes);
    } else if (*from != *to) {
        changes.push_back({ ChangeKind::Changed, path, json::serialize(*from), json::serialize(*to) });
    }
}

} // namespace

std::string ConfigurationChange::toString() const
{
    switch (kind) {
    case ChangeKind::Added:
        return "+ " + path + ": " + newValue;
    case ChangeKind::Removed:
        return "- " + path + ": " + oldValue;
    case ChangeKind::Changed:
        break;
    }
    return "~ " + path + ": " + oldValue + " -> " + newValue;
}

std::vector<ConfigurationChange> diff(const Configuration &from, const Configuration &to)
{
    std::vector<ConfigurationChange> changes;
    compareObjects("", toJson(from), toJson(to), changes);
    std::stable_sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.path < right.path; });
    return changes;
}

std::string toString(const std::vector<ConfigurationChange> &changes)
{
    std::string text;
    for (const ConfigurationChange &change : changes) {
        text += change.toString() + "\n";
    }
    return text;
}

} // namespace lagoonroute
