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

/** Visitor that sets every field which a JSON object has, and collects what it cannot take. */
class FieldReader
{
public:
    /** Reads from the object at the given place. */
    FieldReader(const boost::json::object &object, std::string place, std::vector<CheckFault> &faults);

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
        refuse(name, *value, allowed);
    }

    template <typename T>
    void section(std::string_view name, T &target)
    {
        if (const boost::json::value *value = member(name)) {
            readValue(childPlace(m_place, name), *value, target);
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
            const std::string place = childPlace(childPlace(m_place, name), std::to_string(target.size()));
            readValue(place, entry, target.emplace_back());
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
            readValue(childPlace(childPlace(m_place, name), key), entry.value(), target.emplace(key, named<T>(key)).first->second);
        }
    }

    /** Refuses every field that was not visited. Call it after the visit. */
    void finish();

private:
    template <typename T>
    static T named(const std::string &name)
    {
        if constexpr (requires { FieldsOf<T>::named(name); }) {
            return FieldsOf<T>::named(name);
        } else {
            return T{};
        }
    }

    template <typename T>
    void readValue(const std::string &place, const boost::json::value &value, T &target)
    {
        if (!value.is_object()) {
            refuseAt(place, value, "an object");
            return;
        }
        FieldReader reader(value.get_object(), place, m_faults);
        FieldsOf<T>::visit(target, reader);
        reader.finish();
    }

    const boost::json::value *member(std::string_view name);
    const boost::json::array *arrayAt(std::string_view name);
    const boost::json::object *objectAt(std::string_view name);
    std::optional<std::uint64_t> numberAt(std::string_view name, NumberRange range);
    void refuse(std::string_view name, const boost::json::value &value, std::string_view allowed);
    void refuseAt(std::string place, const boost::json::value &value, std::string_view allowed);

    const boost::json::object &m_object;
    std::string m_place;
    std::vector<CheckFault> &m_faults;
    std::vector<std::string> m_known;
};

/** Returns the candidate that differs from the name in few letters, or an empty text when none does. */
std::string closestName(std::string_view name, const std::vector<std::string> &candidates);

} // namespace lagoonroute
