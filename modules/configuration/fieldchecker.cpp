#include "fieldchecker.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

std::string childPlace(const std::string &place, std::string_view step)
{
    std::string child = place + "/";
    for (const char character : step) {
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

FieldChecker::FieldChecker(std::string place, std::vector<CheckFault> &faults)
    : m_place(std::move(place))
    , m_faults(faults)
{
}

void FieldChecker::number(std::string_view name, std::uint64_t value, NumberRange range)
{
    if (value < range.smallest || value > range.largest) {
        add(childPlace(m_place, name), std::to_string(value), range.toString());
    }
}

void FieldChecker::duration(std::string_view name, Duration value, DurationRange range)
{
    const bool isWhole = value % std::chrono::milliseconds(1) == Duration::zero();
    if (!isWhole || value < range.shortest || value > range.longest) {
        add(childPlace(m_place, name), std::to_string(value.count()) + " microseconds", range.toString());
    }
}

void FieldChecker::text(std::string_view name, const std::string &value, TextForm form)
{
    if (!hasForm(value, form)) {
        add(childPlace(m_place, name), quoted(value), description(form));
    }
}

void FieldChecker::weights(std::string_view name, const std::map<std::string, std::uint32_t> &values, NumberRange range)
{
    count(name, values.size(), maxListEntries);
    FieldChecker entries(childPlace(m_place, name), m_faults);
    for (const auto &[key, weight] : values) {
        entries.text(key, key, TextForm::Caller);
        entries.number(key, weight, range);
    }
}

void FieldChecker::names(std::string_view name, const std::vector<std::string> &values, std::size_t maxCount)
{
    count(name, values.size(), maxCount);
    FieldChecker entries(childPlace(m_place, name), m_faults);
    for (std::size_t index = 0; index < values.size(); ++index) {
        entries.text(std::to_string(index), values[index], TextForm::Name);
    }
    const auto twice = std::adjacent_find(values.begin(), values.end());
    if (twice != values.end()) {
        add(childPlace(m_place, name), quoted(*twice) + " twice", "each name once");
    }
}

void FieldChecker::add(std::string place, std::string value, std::string_view allowed)
{
    m_faults.push_back({ std::move(place), std::move(value), std::string(allowed) });
}

void FieldChecker::count(std::string_view name, std::size_t size, std::size_t maxCount)
{
    if (size > maxCount) {
        add(childPlace(m_place, name), std::to_string(size) + " entries", "at most " + std::to_string(maxCount) + " entries");
    }
}

void checkRelations(const std::string &place, const KeyRule &rule, std::vector<CheckFault> &faults)
{
    const bool needsName = rule.source == KeySource::Header || rule.source == KeySource::BodyPointer;
    if (needsName == rule.name.empty()) {
        faults.push_back({ childPlace(place, "name"), quoted(rule.name), needsName ? "the header's name or the JSON pointer" : "no name" });
        return;
    }
    if (rule.source == KeySource::BodyPointer && rule.name.front() != '/') {
        faults.push_back({ childPlace(place, "name"), quoted(rule.name), "a JSON pointer, which begins with /" });
    }
}

void checkRelations(const std::string &place, const ServiceRules &rules, std::vector<CheckFault> &faults)
{
    if (rules.defaultDeadline() > rules.largestDeadline()) {
        const auto milliseconds = [](Duration value) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()); };
        faults.push_back({ childPlace(place, "defaultDeadlineMs"),
                           milliseconds(rules.defaultDeadline()),
                           "at most largestDeadlineMs, " + milliseconds(rules.largestDeadline()) });
    }
}

} // namespace lagoonroute
