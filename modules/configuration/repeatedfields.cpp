#include <lagoonroute/configuration/repeatedfields.h>

#include "fieldchecker.h"

#include <boost/json/array.hpp>
#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/object.hpp>
#include <boost/json/string.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

/** Handler for the event parser of Boost.JSON that tracks the document path and the field names of each open object. */
struct RepeatedFieldHandler
{
    static constexpr std::size_t max_object_size = json::object::max_size(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_array_size = json::array::max_size(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_key_size = json::string::max_size(); // NOLINT(readability-identifier-naming)
    static constexpr std::size_t max_string_size = json::string::max_size(); // NOLINT(readability-identifier-naming)

    struct Level
    {
        std::set<std::string, std::less<>> fieldNames;
        std::string currentToken;
        std::size_t elementCount = 0;
        bool isArray = false;
    };

    std::vector<Level> levels;
    std::vector<CheckFault> faults;
    std::string key;

    void countElement()
    {
        if (!levels.empty() && levels.back().isArray) {
            levels.back().currentToken = std::to_string(levels.back().elementCount++);
        }
    }

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const Level &level : levels) {
            text = childPath(text, level.currentToken);
        }
        return text;
    }

    // clang-format off
    bool on_document_begin(json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_document_end(json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_object_end(std::size_t, json::error_code &) { levels.pop_back(); return true; } // NOLINT(readability-identifier-naming)
    bool on_array_end(std::size_t, json::error_code &) { levels.pop_back(); return true; } // NOLINT(readability-identifier-naming)
    bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_string(json::string_view, std::size_t, json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_number_part(json::string_view, json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_int64(std::int64_t, json::string_view, json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_double(double, json::string_view, json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_bool(bool, json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_null(json::error_code &) { countElement(); return true; } // NOLINT(readability-identifier-naming)
    bool on_comment_part(json::string_view, json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    bool on_comment(json::string_view, json::error_code &) { return true; } // NOLINT(readability-identifier-naming)
    // clang-format on

    bool on_object_begin(json::error_code & /*error*/) // NOLINT(readability-identifier-naming)
    {
        countElement();
        levels.emplace_back();
        return true;
    }

    bool on_array_begin(json::error_code & /*error*/) // NOLINT(readability-identifier-naming)
    {
        countElement();
        levels.emplace_back().isArray = true;
        return true;
    }

    bool on_key_part(json::string_view part, std::size_t /*size*/, json::error_code & /*error*/) // NOLINT(readability-identifier-naming)
    {
        key.append(part.data(), part.size());
        return true;
    }

    bool on_key(json::string_view part, std::size_t /*size*/, json::error_code & /*error*/) // NOLINT(readability-identifier-naming)
    {
        key.append(part.data(), part.size());
        levels.back().currentToken = key;
        if (!levels.back().fieldNames.insert(key).second) {
            faults.push_back({ path(), "a repeated field", "each field once" });
        }
        key.clear();
        return true;
    }
};

} // namespace

std::vector<CheckFault> repeatedFields(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::basic_parser<RepeatedFieldHandler> parser(options);
    json::error_code error;
    // After a syntax error in or after a comment, write_some() can return more than the size of the text.
    const std::size_t consumed = std::min(parser.write_some(false, text.data(), text.size(), error), text.size());
    std::vector<CheckFault> faults = parser.handler().faults;
    if (error || consumed < text.size()) {
        const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(consumed), '\n');
        faults.push_back({ "", "line " + std::to_string(line) + ": " + (error ? error.message() : "extra text"), "one JSON object" });
    }
    return faults;
}

} // namespace lagoonroute
