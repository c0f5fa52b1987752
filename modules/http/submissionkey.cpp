#include "submissionkey.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/base/identifiers.h>

#include <boost/json.hpp>
#include <boost/uuid/string_generator.hpp>

namespace lagoonroute
{

namespace json = boost::json;

namespace
{

std::string keyAtPointer(const json::value &document, const std::string &pointer)
{
    json::error_code error;
    const json::value *member = document.find_pointer(pointer, error);
    if (member == nullptr || member->is_null()) {
        return {};
    }
    return member->is_string() ? json::value_to<std::string>(*member) : json::serialize(*member);
}

std::string keyFromRule(const KeyRule &rule, const HttpRequest &request, const json::value &document)
{
    switch (rule.source) {
    case KeySource::IdempotencyKey:
        return fieldValue(request.fields, "Idempotency-Key");
    case KeySource::Header:
        return fieldValue(request.fields, rule.name);
    case KeySource::BodyPointer:
        return keyAtPointer(document, rule.name);
    case KeySource::BodyDigest:
        return Digest::of(request.body).toString();
    }
    return {};
}

} // namespace

std::string findSubmissionKey(const std::vector<KeyRule> &rules, const HttpRequest &request, const json::value &document)
{
    for (const KeyRule &rule : rules) {
        std::string key = keyFromRule(rule, request, document);
        if (key.size() > maxKeyBytes) {
            throw InvalidDocument("the submission key is longer than " + std::to_string(maxKeyBytes) + " bytes");
        }
        if (!key.empty()) {
            return key;
        }
    }
    return {};
}

std::optional<WallTime> submissionKeyTime(const std::string &key)
{
    constexpr std::size_t uuidTextLength = 36;
    constexpr std::size_t timeBytes = 6;
    constexpr unsigned versionShift = 4;
    constexpr unsigned timeOrderedVersion = 7;
    if (key.size() != uuidTextLength) {
        return std::nullopt;
    }
    try {
        const boost::uuids::uuid uuid = boost::uuids::string_generator()(key);
        if (uuid.data[timeBytes] >> versionShift != timeOrderedVersion) {
            return std::nullopt;
        }
        std::int64_t milliseconds = 0;
        for (std::size_t index = 0; index < timeBytes; ++index) {
            milliseconds = milliseconds * 256 + uuid.data[index];
        }
        return WallTime(std::chrono::milliseconds(milliseconds));
    } catch (const std::runtime_error &) {
        return std::nullopt;
    }
}

} // namespace lagoonroute
