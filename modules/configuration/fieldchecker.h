#pragma once

#include "servicerulesfields.h"

#include <lagoonroute/configuration/checkfault.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Returns the JSON pointer extended by a reference token, which is escaped as described in RFC 6901. */
std::string childPath(const std::string &path, std::string_view token);

/** Returns the text as a JSON string. */
std::string quoted(std::string_view text);

/** Visitor that reports every value that is not allowed in its field. */
class FieldChecker
{
public:
    /** Checks the fields of a value at the given document path and appends to `faults`. */
    FieldChecker(std::string path, std::vector<CheckFault> &faults);

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
        checkValue(childPath(m_path, name), value, m_faults);
    }

    template <typename T>
    void list(std::string_view name, const std::vector<T> &values, std::size_t maxCount)
    {
        checkCount(name, values.size(), maxCount);
        for (std::size_t index = 0; index < values.size(); ++index) {
            checkValue(childPath(childPath(m_path, name), std::to_string(index)), values[index], m_faults);
        }
    }

    template <typename T>
    void table(std::string_view name, const std::map<std::string, T> &values, std::size_t maxCount)
    {
        checkCount(name, values.size(), maxCount);
        const std::string path = childPath(m_path, name);
        for (const auto &[key, value] : values) {
            const std::string entryPath = childPath(path, key);
            if (!hasFormat(key, TextForm::Name)) {
                addFault(entryPath, quoted(key), description(TextForm::Name));
            }
            checkValue(entryPath, value, m_faults);
        }
    }

private:
    void addFault(std::string path, std::string value, std::string_view allowed);
    void checkCount(std::string_view name, std::size_t size, std::size_t maxCount);

    std::string m_path;
    std::vector<CheckFault> &m_faults;
};

/** Checks constraints that involve more than one field of a value. Most types have none. */
template <typename T>
void checkRelations(const std::string & /*path*/, const T & /*value*/, std::vector<CheckFault> & /*faults*/)
{
}

/** Checks that rules for headers and body pointers have a name, and that rules for other sources have none. */
void checkRelations(const std::string &path, const KeyRule &rule, std::vector<CheckFault> &faults);

/** Checks that the default deadline does not exceed the largest deadline. */
void checkRelations(const std::string &path, const ServiceRules &rules, std::vector<CheckFault> &faults);

/** Checks every field of the value and the constraints between its fields. */
template <typename T>
void checkValue(const std::string &path, const T &value, std::vector<CheckFault> &faults)
{
    FieldChecker checker(path, faults);
    FieldsOf<T>::visit(value, checker);
    checkRelations(path, value, faults);
}

/** Throws InvalidConfiguration if the value has faults; `section` is the table of the document that contains it under `name`. */
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
