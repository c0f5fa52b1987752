#include <lagoonroute/configuration/auditrecord.h>

#include "auditjson.h"

#include <lagoonroute/base/errors.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <charconv>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

constexpr int hexadecimalBase = 16;
constexpr std::size_t hexDigitsPerHalf = 16;

std::uint64_t parseDigestHalf(std::string_view digits)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimalBase);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        throw InvalidDocument("digest is not hexadecimal: " + std::string(digits));
    }
    return value;
}

Digest parseDigest(const std::string &digits)
{
    if (digits.size() != 2 * hexDigitsPerHalf) {
        throw InvalidDocument("digest is not 32 hexadecimal digits: " + digits);
    }
    const std::string_view text = digits;
    return { parseDigestHalf(text.substr(0, hexDigitsPerHalf)), parseDigestHalf(text.substr(hexDigitsPerHalf)) };
}

WallTime parseTime(const std::string &text)
{
    std::tm fields{};
    int milliseconds = 0;
    std::istringstream stream(text);
    stream >> std::get_time(&fields, "%Y-%m-%dT%H:%M:%S");
    if (!stream || stream.get() != '.' || !(stream >> milliseconds) || stream.get() != 'Z') {
        throw InvalidDocument("time is not RFC 3339 in UTC: " + text);
    }
    const auto seconds = std::chrono::system_clock::from_time_t(timegm(&fields));
    return std::chrono::time_point_cast<std::chrono::milliseconds>(seconds) + std::chrono::milliseconds(milliseconds);
}

} // namespace

std::string toString(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t value = seconds.time_since_epoch().count();
    std::tm fields{};
    gmtime_r(&value, &fields);
    std::ostringstream text;
    text << std::put_time(&fields, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0') << (time - seconds).count() << 'Z';
    return text.str();
}

json::object auditToJson(const AuditRecord &record)
{
    return { { "from", record.from },
             { "to", record.to },
             { "author", record.author },
             { "reason", record.reason },
             { "time", toString(record.time) },
             { "mark", record.mark },
             { "digest", record.digest.toString() },
             { "changes", json::value_from(record.changes) },
             { "omittedChanges", record.omittedChanges } };
}

AuditRecord auditFromJson(const json::value &value)
{
    try {
        return { .from = value.at("from").to_number<Revision>(),
                 .to = value.at("to").to_number<Revision>(),
                 .author = json::value_to<std::string>(value.at("author")),
                 .reason = json::value_to<std::string>(value.at("reason")),
                 .time = parseTime(json::value_to<std::string>(value.at("time"))),
                 .mark = json::value_to<std::string>(value.at("mark")),
                 .digest = parseDigest(json::value_to<std::string>(value.at("digest"))),
                 .changes = json::value_to<std::vector<std::string>>(value.at("changes")),
                 .omittedChanges = value.at("omittedChanges").to_number<std::uint32_t>() };
    } catch (const std::exception &error) {
        throw InvalidDocument(std::string("audit record: ") + error.what());
    }
}

std::string AuditRecord::toJsonLine() const
{
    return json::serialize(auditToJson(*this));
}

AuditRecord AuditRecord::fromJsonLine(std::string_view line)
{
    json::error_code error;
    const json::value value = json::parse(json::string_view(line.data(), line.size()), error);
    if (error) {
        throw InvalidDocument("audit record: " + error.message());
    }
    return auditFromJson(value);
}

} // namespace lagoonroute
