#include <lagoonroute/http/httpmessage.h>

#include <boost/beast/core/string.hpp>

namespace lagoonroute
{

std::string fieldValue(const HttpFields &fields, const std::string &name)
{
    for (const auto &[fieldName, value] : fields) {
        if (boost::beast::iequals(fieldName, name)) {
            return value;
        }
    }
    return {};
}

} // namespace lagoonroute
