#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/configuration/keyrule.h>
#include <lagoonroute/http/httpmessage.h>

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Maximum length of a submission key, in bytes. */
inline constexpr std::size_t maxKeyBytes = 255;

/**
 * Returns the submission key of a request: the first non-empty key that a rule yields, or an empty string.
 *
 * `document` is the parsed body. Throws InvalidDocument if the key is longer than maxKeyBytes.
 */
std::string findSubmissionKey(const std::vector<KeyRule> &rules, const HttpRequest &request, const boost::json::value &document);

/** Returns the timestamp of a time-ordered key (UUID version 7, RFC 9562), or nothing for any other key. */
std::optional<WallTime> submissionKeyTime(const std::string &key);

} // namespace lagoonroute
