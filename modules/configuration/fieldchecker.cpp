#include "fieldchecker.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

std::string childPath(const std::string &path, std::string_view token)
{
    std::string child = path + "/";
    for (const char character : token) {
        if (character == '~') {
            child += "~0";
        } else if (character == '/') {
            child += "~1";
        } else {
            child += character;
        }
    }
    return child;
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::value(boost::json::string_view(text.data(), text.size())));
}

FieldChecker::FieldChecker(std::string path, std::vector<CheckFault> &faults)
    : m_path(std::move(path))
    , m_faults(faults)
{
}

void FieldChecker::number(std::string_view name, std::uint64_t value, NumberRange range)
{
    if (value < range.smallest || value > range.largest) {
        addFault(childPath(m_path, name), std::to_string(value), range.toString());
    }
}

void FieldChecker::duration(std::string_view name, Duration value, DurationRange range)
{
    const bool isWholeMilliseconds = value % std::chrono::milliseconds(1) == Duration::zero();
    if (!isWholeMilliseconds || value < range.shortest || value > range.longest) {
        addFault(childPath(m_path, name), std::to_string(value.count()) + " microseconds", range.toString());
    }
}

void FieldChecker::text(std::string_view name, const std::string &value, TextForm form)
{
    if (!hasFormat(value, form)) {
        addFault(childPath(m_path, name), quoted(value), description(form));
    }
}

void FieldChecker::weights(std::string_view name, const std::map<std::string, std::uint32_t> &values, NumberRange range)
{
    checkCount(name, values.size(), maxListEntries);
    FieldChecker entries(childPath(m_path, name), m_faults);
    for (const auto &[key, weight] : values) {
        entries.text(key, key, TextForm::Caller);
        entries.number(key, weight, range);
    }
}

void FieldChecker::names(std::string_view name, const std::vector<std::string> &values, std::size_t maxCount)
{
    checkCount(name, values.size(), maxCount);
    FieldChecker entries(childPath(m_path, name), m_faults);
    for (std::size_t index = 0; index < values.size(); ++index) {
        entries.text(std::to_string(index), values[index], TextForm::Name);
    }
    const auto duplicate = std::adjacent_find(values.begin(), values.end());
    if (duplicate != values.end()) {
        addFault(childPath(m_path, name), quoted(*duplicate) + " twice", "each name once");
    }
}

void FieldChecker::addFault(std::string path, std::string value, std::string_view allowed)
{
    m_faults.push_back({ std::move(path), std::move(value), std::string(allowed) });
}

void FieldChecker::checkCount(std::string_view name, std::size_t size, std::size_t maxCount)
{
    if (size > maxCount) {
        addFault(childPath(m_path, name), std::to_string(size) + " entries", "at most " + std::to_string(maxCount) + " entries");
    }
}

void checkRelations(const std::string &path, const KeyRule &rule, std::vector<CheckFault> &faults)
{
    const bool requiresName = rule.source == KeySource::Header || rule.source == KeySource::BodyPointer;
    if (requiresName == rule.name.empty()) {
        faults.push_back({ childPath(path, "name"), quoted(rule.name), requiresName ? "the header's name or the JSON pointer" : "no name" });
        return;
    }
    if (rule.source == KeySource::BodyPointer && rule.name.front() != '/') {
        faults.push_back({ childPath(path, "name"), quoted(rule.name), "a JSON pointer, which begins with /" });
    }
}

void checkRelations(const std::string &path, const ServiceRules &rules, std::vector<CheckFault> &faults)
{
    if (rules.defaultDeadline() > rules.largestDeadline()) {
        const auto milliseconds = [](Duration value) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()); };
        faults.push_back({ childPath(path, "defaultDeadlineMs"),
                           milliseconds(rules.defaultDeadline()),
                           "at most largestDeadlineMs, " + milliseconds(rules.largestDeadline()) });
    }
}

} // namespace lagoonroute
