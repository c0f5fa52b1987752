#pragma once

#include <string>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Header fields in the order of the message. */
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of the first field of that name, whose case does not matter, or an empty string. */
std::string fieldValue(const HttpFields &fields, const std::string &name);

/** Request as a server received it or a client is to send it. */
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
