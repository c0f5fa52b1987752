#include "callerjson.h"
#include "submissionkey.h"

#include <lagoonroute/base/errors.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

namespace
{

HttpRequest requestWith(std::string body)
{
    return HttpRequest{ .method = "POST", .fields = { { "idempotency-key", "k1" }, { "X-Tablet", "t9" } }, .body = std::move(body) };
}

ServiceRules rulesWith(std::vector<KeyRule> keys)
{
    ServiceRules::Builder builder("booking");
    builder.withKeyRules(std::move(keys));
    return builder.build();
}

} // namespace

BOOST_AUTO_TEST_SUITE(SubmissionTest)

BOOST_AUTO_TEST_CASE(FirstMatchingRuleYieldsSubmissionKey)
{
    const HttpRequest request = requestWith(R"({"hold":{"reference":"r7"},"tasks":[{}]})");
    BOOST_TEST(parseSubmission(request, rulesWith({ KeyRule::idempotencyKey() })).key == "k1");
    BOOST_TEST(parseSubmission(request, rulesWith({ KeyRule::header("x-tablet") })).key == "t9");
    BOOST_TEST(parseSubmission(request, rulesWith({ KeyRule::bodyPointer("/none"), KeyRule::bodyPointer("/hold/reference") })).key == "r7");
    BOOST_TEST(parseSubmission(request, rulesWith({ KeyRule::bodyDigest() })).key == Digest::of(request.body).toString());
    BOOST_TEST(parseSubmission(request, rulesWith({ KeyRule::header("x-none") })).key.empty());
}

BOOST_AUTO_TEST_CASE(RepeatedMemberIsRefused)
{
    const ServiceRules rules = rulesWith({ KeyRule::idempotencyKey() });
    for (const char *body : { R"({"idempotent":false,"idempotent":true,"tasks":[{}]})", R"({"tasks":[{"runTimeMs":1,"runTimeMs":2}]})" }) {
        BOOST_CHECK_THROW(parseSubmission(requestWith(body), rules), InvalidDocument);
    }
    BOOST_CHECK_NO_THROW(parseSubmission(requestWith(R"({"idempotent":true,"tasks":[{"runTimeMs":1},{"runTimeMs":2}]})"), rules));
}

BOOST_AUTO_TEST_CASE(OnlyTimeOrderedKeyHasTime)
{
    const auto time = submissionKeyTime("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    BOOST_REQUIRE(time.has_value());
    BOOST_TEST(time->time_since_epoch().count() == 0x017f22e279b0);
    BOOST_TEST(!submissionKeyTime("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value());
    BOOST_TEST(!submissionKeyTime("not a key that is a uuid, but as long").has_value());
}

BOOST_AUTO_TEST_CASE(InvalidSubmissionErrorNamesFault)
{
    const std::vector<std::pair<std::string, std::string>> faults{
        { "{", "not JSON" },
        { "[]", "JSON object" },
        { R"({"tasks":[]})", "\"tasks\"" },
        { R"({"tasks":[1]})", "\"tasks\"" },
        { R"({"tasks":[{}],"deadlineMs":0})", "\"deadlineMs\"" },
        { R"({"tasks":[{}],"idempotent":"no"})", "\"idempotent\"" },
        { R"({"tasks":[{"runTimeMs":-1}]})", "\"runTimeMs\"" },
        { R"({"tasks":[{"need":{"accelerators":70000}}]})", "\"accelerators\"" },
    };
    for (const auto &[body, expected] : faults) {
        BOOST_CHECK_EXCEPTION(parseSubmission(requestWith(body), rulesWith({})), InvalidDocument, [&expected = expected](const InvalidDocument &error) {
            return std::string(error.what()).find(expected) != std::string::npos;
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()
