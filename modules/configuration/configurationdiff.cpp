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

void compareValues(const std::string &place, const json::value *from, const json::value *to, std::vector<ConfigurationChange> &changes);

void compareObjects(const std::string &place, const json::object &from, const json::object &to, std::vector<ConfigurationChange> &changes)
{
    for (const auto &entry : from) {
        compareValues(childPlace(place, entry.key()), &entry.value(), to.if_contains(entry.key()), changes);
    }
    for (const auto &entry : to) {
        if (!from.contains(entry.key())) {
            compareValues(childPlace(place, entry.key()), nullptr, &entry.value(), changes);
        }
    }
}

void compareValues(const std::string &place, const json::value *from, const json::value *to, std::vector<ConfigurationChange> &changes)
{
    if (from == nullptr) {
        changes.push_back({ ChangeKind::Added, place, "", json::serialize(*to) });
    } else if (to == nullptr) {
        changes.push_back({ ChangeKind::Removed, place, json::serialize(*from), "" });
    } else if (from->is_object() && to->is_object()) {
        compareObjects(place, from->get_object(), to->get_object(), changes);
    } else if (*from != *to) {
        changes.push_back({ ChangeKind::Changed, place, json::serialize(*from), json::serialize(*to) });
    }
}

} // namespace

std::string ConfigurationChange::toString() const
{
    switch (kind) {
    case ChangeKind::Added:
        return "+ " + place + ": " + newValue;
    case ChangeKind::Removed:
        return "- " + place + ": " + oldValue;
    case ChangeKind::Changed:
        break;
    }
    return "~ " + place + ": " + oldValue + " -> " + newValue;
}

std::vector<ConfigurationChange> diff(const Configuration &from, const Configuration &to)
{
    std::vector<ConfigurationChange> changes;
    compareObjects("", toJson(from), toJson(to), changes);
    std::stable_sort(changes.begin(), changes.end(), [](const auto &left, const auto &right) { return left.place < right.place; });
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
