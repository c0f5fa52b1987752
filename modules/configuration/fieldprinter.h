#pragma once

#include "configurationfields.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

template <typename T>
boost::json::object toJson(const T &value);

/** Visitor that appends every visited field to a JSON object. */
class FieldPrinter
{
public:
    /** Appends fields to the given object. */
    explicit FieldPrinter(boost::json::object &object)
        : m_object(object)
    {
    }

    void number(std::string_view name, std::uint64_t value, NumberRange /*range*/)
    {
        add(name, value);
    }

    void duration(std::string_view name, Duration value, DurationRange /*range*/)
    {
        add(name, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    }

    void flag(std::string_view name, bool value)
    {
        add(name, value);
    }

    void text(std::string_view name, const std::string &value, TextForm /*form*/)
    {
        add(name, boost::json::string(value));
    }

    template <typename Enum, typename Names>
    void choice(std::string_view name, Enum value, const Names &names)
    {
        for (const auto &[candidate, text] : names) {
            if (candidate == value) {
                add(name, boost::json::string(text.data(), text.size()));
            }
        }
    }

    void weights(std::string_view name, const std::map<std::string, std::uint32_t> &values, NumberRange /*range*/)
    {
        boost::json::object entries;
        for (const auto &[key, weight] : values) {
            entries.emplace(key, weight);
        }
        add(name, std::move(entries));
    }

    void names(std::string_view name, const std::vector<std::string> &values, std::size_t /*maxCount*/)
    {
        add(name, boost::json::array(values.begin(), values.end()));
    }

    template <typename T>
    void section(std::string_view name, const T &value)
    {
        add(name, toJson(value));
    }

    template <typename T>
    void list(std::string_view name, const std::vector<T> &values, std::size_t /*maxCount*/)
    {
        boost::json::array entries;
        for (const T &value : values) {
            entries.push_back(toJson(value));
        }
        add(name, std::move(entries));
    }

    template <typename T>
    void table(std::string_view name, const std::map<std::string, T> &values, std::size_t /*maxCount*/)
    {
        boost::json::object entries;
        for (const auto &[key, value] : values) {
            entries.emplace(key, toJson(value));
        }
        add(name, std::move(entries));
    }

private:
    void add(std::string_view name, boost::json::value value)
    {
        m_object.emplace(boost::json::string_view(name.data(), name.size()), std::move(value));
    }

    boost::json::object &m_object;
};

/** Returns the value as a JSON object with every field, in the order in which FieldsOf<T> visits them. */
template <typename T>
boost::json::object toJson(const T &value)
{
    boost::json::object object;
    FieldPrinter printer(object);
    FieldsOf<T>::visit(value, printer);
    return object;
}

} // namespace lagoonroute
