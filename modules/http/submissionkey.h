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

/** Longest submission key, in bytes. */
inline constexpr std::size_t maxKeyBytes = 255;

/**
 * Returns the submission key of a request: the first that the service's rules find, or an empty string.
 *
 * `document` is the parsed body. Throws InvalidDocument when the key is too long.
 */
std::string findSubmissionKey(const std::vector<KeyRule> &rules, const HttpRequest &request, const boost::json::value &document);

/** Returns the time within a time-ordered key (UUID version 7, RFC 9562), or nothing for every other key. */
std::optional<WallTime> timeOfKey(const std::string &key);

} // namespace lagoonroute
