#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Header fields as pairs of name and value, in the order in which they appear in the message. */
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of the first field with that name (compared without case), or an empty string. */
std::string fieldValue(const HttpFields &fields, const std::string &name);

/** Request that a server received or a client sends. */
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpFields fields;
    std::string body;
};

/** Response to a request. */
struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    HttpFields fields;
    std::string body;
};

} // namespace lagoonroute
