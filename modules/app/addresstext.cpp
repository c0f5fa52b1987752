#include <lagoonroute/app/addresstext.h>

#include <lagoonroute/base/errors.h>

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace lagoonroute
{

NodeAddress addressFromText(const std::string &text)
{
    const InvalidDocument invalid("\"" + text + "\" is not an IP address and port such as 127.0.0.1:7500");
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw invalid;
    }
    NodeAddress address{ text.substr(0, colon), 0 };
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    const char *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || address.port == 0) {
        throw invalid;
    }
    return address;
}

} // namespace lagoonroute
