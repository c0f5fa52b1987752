#include "fieldreader.h"

#include <boost/json/serialize.hpp>

#include <numeric>
#include <optional>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

/** Largest edit distance between an unknown name and the name suggested for it. */
constexpr std::size_t maxSuggestionDistance = 4;

std::size_t editDistance(std::string_view from, std::string_view to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t line = 1; line <= from.size(); ++line) {
        std::size_t diagonal = row[0];
        row[0] = line;
        for (std::size_t column = 1; column <= to.size(); ++column) {
            const std::size_t replaced = diagonal + (from[line - 1] == to[column - 1] ? 0 : 1);
            diagonal = row[column];
            row[column] = std::min({ replaced, row[column] + 1, row[column - 1] + 1 });
        }
    }
    return row.back();
}

} // namespace

std::string closestName(std::string_view name, const std::vector<std::string> &candidates)
{
    std::string closest;
    std::size_t smallest = maxSuggestionDistance + 1;
    for (const std::string &candidate : candidates) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < smallest && distance < candidate.size()) {
            smallest = distance;
            closest = candidate;
        }
    }
    return closest;
}

FieldReader::FieldReader(const json::object &object, std::string path, std::vector<CheckFault> &faults)
    : m_object(object)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

void FieldReader::duration(std::string_view name, Duration &target, DurationRange range)
{
    const json::value *value = member(name);
    if (value == nullptr) {
        return;
    }
    json::error_code error;
    const auto count = value->to_number<std::uint32_t>(error);
    if (error) {
        addFault(name, *value, range.toString());
        return;
    }
    target = std::chrono::milliseconds(count);
}

void FieldReader::flag(std::string_view name, bool &target)
{
    const json::value *value = member(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        addFault(name, *value, "true or false");
        return;
    }
    target = value->get_bool();
}

void FieldReader::text(std::string_view name, std::string &target, TextForm form)
{
    const json::value *value = member(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        addFault(name, *value, description(form));
        return;
    }
    target = std::string(value->get_string());
}

void FieldReader::weights(std::string_view name, std::map<std::string, std::uint32_t> &target, NumberRange range)
{
    const json::object *entries = objectAt(name);
    if (entries == nullptr) {
        return;
    }
    FieldReader reader(*entries, childPath(m_path, name), m_faults);
    for (const auto &entry : *entries) {
        std::uint32_t weight = 0;
        if (const auto value = reader.numberAt(std::string(entry.key()), range)) {
            weight = static_cast<std::uint32_t>(*value);
            target.insert_or_assign(std::string(entry.key()), weight);
        }
    }
}

void FieldReader::names(std::string_view name, std::vector<std::string> &target, std::size_t /*maxCount*/)
{
    const json::array *entries = arrayAt(name);
    if (entries == nullptr) {
        return;
    }
    target.clear();
    for (std::size_t index = 0; index < entries->size(); ++index) {
        const json::value &entry = (*entries)[index];
        if (!entry.is_string()) {
            addFaultAt(childPath(childPath(m_path, name), std::to_string(index)), entry, description(TextForm::Name));
            continue;
        }
        target.emplace_back(entry.get_string());
    }
    std::sort(target.begin(), target.end());
}

void FieldReader::finish()
{
    for (const auto &entry : m_object) {
        const std::string name(entry.key());
        if (std::find(m_visitedNames.begin(), m_visitedNames.end(), name) != m_visitedNames.end()) {
            continue;
        }
        const std::string suggestion = closestName(name, m_visitedNames);
        m_faults.push_back({ childPath(m_path, name), "an unknown field", suggestion.empty() ? "no such field" : "did you mean " + quoted(suggestion) + "?" });
    }
}

const json::value *FieldReader::member(std::string_view name)
{
    m_visitedNames.emplace_back(name);
    return m_object.if_contains(json::string_view(name.data(), name.size()));
}

const json::array *FieldReader::arrayAt(std::string_view name)
{
    const json::value *value = member(name);
    if (value != nullptr && !value->is_array()) {
        addFault(name, *value, "a list");
        return nullptr;
    }
    return value == nullptr ? nullptr : &value->get_array();
}

const json::object *FieldReader::objectAt(std::string_view name)
{
    const json::value *value = member(name);
    if (value != nullptr && !value->is_object()) {
        addFault(name, *value, "an object");
        return nullptr;
    }
    return value == nullptr ? nullptr : &value->get_object();
}

std::optional<std::uint64_t> FieldReader::numberAt(std::string_view name, NumberRange range)
{
    const json::value *value = member(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number < range.smallest || number > range.largest) {
        addFault(name, *value, range.toString());
        return std::nullopt;
    }
    return number;
}

void FieldReader::addFault(std::string_view name, const json::value &value, std::string_view allowed)
{
    addFaultAt(childPath(m_path, name), value, allowed);
}

void FieldReader::addFaultAt(std::string path, const json::value &value, std::string_view allowed)
{
    m_faults.push_back({ std::move(path), json::serialize(value), std::string(allowed) });
}

} // namespace lagoonroute
