#pragma once

#include "servicerulesfields.h"

#include <lagoonroute/configuration/checkfault.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Appends a step to a JSON pointer, with the escapes of RFC 6901. */
std::string childPlace(const std::string &place, std::string_view step);

/** Returns the text as a JSON string. */
std::string quoted(std::string_view text);

/** Visitor that collects every value outside its allowed range. */
class FieldChecker
{
public:
    /** Checks the fields of a value at the given place. */
    FieldChecker(std::string place, std::vector<CheckFault> &faults);

    void number(std::string_view name, std::uint64_t value, NumberRange range);
    void duration(std::string_view name, Duration value, DurationRange range);
    void text(std::string_view name, const std::string &value, TextForm form);
    void weights(std::string_view name, const std::map<std::string, std::uint32_t> &values, NumberRange range);
    void names(std::string_view name, const std::vector<std::string> &values, std::size_t maxCount);

    void flag(std::string_view /*name*/, bool /*value*/)
    {
    }

    template <typename Enum, typename Names>
    void choice(std::string_view /*name*/, Enum /*value*/, const Names & /*names*/)
    {
    }

    template <typename T>
    void section(std::string_view name, const T &value)
    {
        checkValue(childPlace(m_place, name), value, m_faults);
    }

    template <typename T>
    void list(std::string_view name, const std::vector<T> &values, std::size_t maxCount)
    {
        count(name, values.size(), maxCount);
        for (std::size_t index = 0; index < values.size(); ++index) {
            checkValue(childPlace(childPlace(m_place, name), std::to_string(index)), values[index], m_faults);
        }
    }

    template <typename T>
    void table(std::string_view name, const std::map<std::string, T> &values, std::size_t maxCount)
    {
        count(name, values.size(), maxCount);
        const std::string place = childPlace(m_place, name);
        for (const auto &[key, value] : values) {
            const std::string entryPlace = childPlace(place, key);
            if (!hasForm(key, TextForm::Name)) {
                add(entryPlace, quoted(key), description(TextForm::Name));
            }
            checkValue(entryPlace, value, m_faults);
        }
    }

private:
    void add(std::string place, std::string value, std::string_view allowed);
    void count(std::string_view name, std::size_t size, std::size_t maxCount);

    std::string m_place;
    std::vector<CheckFault> &m_faults;
};

/** Checks what two fields of a value must satisfy together. Most types have no such rule. */
template <typename T>
void checkRelations(const std::string & /*place*/, const T & /*value*/, std::vector<CheckFault> & /*faults*/)
{
}

/** A header or body pointer needs a name, and the other sources must have none. */
void checkRelations(const std::string &place, const KeyRule &rule, std::vector<CheckFault> &faults);

/** The default deadline must not exceed the largest. */
void checkRelations(const std::string &place, const ServiceRules &rules, std::vector<CheckFault> &faults);

/** Checks every field of the value, and what its fields must satisfy together. */
template <typename T>
void checkValue(const std::string &place, const T &value, std::vector<CheckFault> &faults)
{
    FieldChecker checker(place, faults);
    FieldsOf<T>::visit(value, checker);
    checkRelations(place, value, faults);
}

/** Throws InvalidConfiguration when the named value has a fault; `section` is the part of the document it stands in. */
template <typename T>
void throwUnlessValid(const std::string &section, const std::string &name, const T &value)
{
    std::vector<CheckFault> faults;
    FieldChecker checker("", faults);
    checker.table(section, std::map<std::string, T>{ { name, value } }, 1);
    if (!faults.empty()) {
        throw InvalidConfiguration(std::move(faults));
    }
}

} // namespace lagoonroute
