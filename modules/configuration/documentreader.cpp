#include "documentreader.h"

#include <lagoonroute/configuration/repeatedfields.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace lagoonroute
{

namespace json = boost::json;

json::value parseObject(std::string_view text, std::vector<CheckFault> &faults)
{
    faults = repeatedFields(text);
    if (!faults.empty()) {
        return {};
    }
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::value document = json::parse(json::string_view(text.data(), text.size()), {}, options);
    if (!document.is_object()) {
        faults.push_back({ "", json::serialize(document), "one JSON object" });
    }
    return document;
}

} // namespace lagoonroute
