#pragma once

#include "configurationfields.h"
#include "fieldchecker.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** Visitor that sets every field that is present in a JSON object, and reports values that cannot be read as faults. */
class FieldReader
{
public:
    /** Reads from the object at the given document path and appends to `faults`. */
    FieldReader(const boost::json::object &object, std::string path, std::vector<CheckFault> &faults);

    template <typename Number>
    void number(std::string_view name, Number &target, NumberRange range)
    {
        if (const auto value = numberAt(name, range)) {
            target = static_cast<Number>(*value);
        }
    }

    void duration(std::string_view name, Duration &target, DurationRange range);
    void flag(std::string_view name, bool &target);
    void text(std::string_view name, std::string &target, TextForm form);
    void weights(std::string_view name, std::map<std::string, std::uint32_t> &target, NumberRange range);
    void names(std::string_view name, std::vector<std::string> &target, std::size_t maxCount);

    template <typename Enum, typename Names>
    void choice(std::string_view name, Enum &target, const Names &names)
    {
        const boost::json::value *value = member(name);
        if (value == nullptr) {
            return;
        }
        std::string allowed;
        for (const auto &[candidate, text] : names) {
            if (value->is_string() && value->get_string() == text) {
                target = candidate;
                return;
            }
            allowed += (allowed.empty() ? "" : " or ") + quoted(text);
        }
        addFault(name, *value, allowed);
    }

    template <typename T>
    void section(std::string_view name, T &target)
    {
        if (const boost::json::value *value = member(name)) {
            readValue(childPath(m_path, name), *value, target);
        }
    }

    template <typename T>
    void list(std::string_view name, std::vector<T> &target, std::size_t /*maxCount*/)
    {
        const boost::json::array *entries = arrayAt(name);
        if (entries == nullptr) {
            return;
        }
        target.clear();
        for (const boost::json::value &entry : *entries) {
            const std::string path = childPath(childPath(m_path, name), std::to_string(target.size()));
            readValue(path, entry, target.emplace_back());
        }
    }

    template <typename T>
    void table(std::string_view name, std::map<std::string, T> &target, std::size_t /*maxCount*/)
    {
        const boost::json::object *entries = objectAt(name);
        if (entries == nullptr) {
            return;
        }
        for (const auto &entry : *entries) {
            const std::string key(entry.key());
            readValue(childPath(childPath(m_path, name), key), entry.value(), target.emplace(key, defaultEntry<T>(key)).first->second);
        }
    }

    /** Reports every field of the object that was not visited as unknown. Must be called after the visit. */
    void finish();

private:
    template <typename T>
    static T defaultEntry(const std::string &name)
    {
        if constexpr (requires { FieldsOf<T>::defaultEntry(name); }) {
            return FieldsOf<T>::defaultEntry(name);
        } else {
            return T{};
        }
    }

    template <typename T>
    void readValue(const std::string &path, const boost::json::value &value, T &target)
    {
        if (!value.is_object()) {
            addFaultAt(path, value, "an object");
            return;
        }
        FieldReader reader(value.get_object(), path, m_faults);
        FieldsOf<T>::visit(target, reader);
        reader.finish();
    }

    const boost::json::value *member(std::string_view name);
    const boost::json::array *arrayAt(std::string_view name);
    const boost::json::object *objectAt(std::string_view name);
    std::optional<std::uint64_t> numberAt(std::string_view name, NumberRange range);
    void addFault(std::string_view name, const boost::json::value &value, std::string_view allowed);
    void addFaultAt(std::string path, const boost::json::value &value, std::string_view allowed);

    const boost::json::object &m_object;
    std::string m_path;
    std::vector<CheckFault> &m_faults;
    std::vector<std::string> m_visitedNames;
};

/** Returns the candidate with the smallest edit distance from the name, or an empty text if no candidate is similar. */
std::string closestName(std::string_view name, const std::vector<std::string> &candidates);

} // namespace lagoonroute
