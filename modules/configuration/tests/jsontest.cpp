#include "configurationpatch.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/configuration/configuration.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lagoonroute;

namespace
{

std::string generatedName()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcxyz019-"))));
}

ServiceRules generatedService(const std::string &name)
{
    const auto number = [](std::uint32_t smallest, std::uint32_t largest) { return *rc::gen::inRange(smallest, largest + 1); };
    const std::vector<KeyRule> keyRules{ KeyRule::idempotencyKey(), KeyRule::header("X-Tablet"), KeyRule::bodyPointer("/hold/~1id"), KeyRule::bodyDigest() };
    ServiceRules::Builder builder(name);
    builder.withPreference(*rc::gen::element(RoutingPreference::ResponseTime, RoutingPreference::WastedMessages))
        .withQueueLimit(number(1, 1'000'000))
        .withDefaultDeadline(std::chrono::milliseconds(number(1, 1'000)))
        .withRetryBudgetPercent(number(0, 100))
        .withKeyRules(*rc::gen::resize(8, rc::gen::container<std::vector<KeyRule>>(rc::gen::elementOf(keyRules))))
        .withNonIdempotentByDefault(*rc::gen::arbitrary<bool>())
        .withEjection(EjectionRules().withMinimumSamples(number(1, 10'000)))
        .withUpstreamPath("/\"a\\" + generatedName())
        .withZones({ "z" });
    for (std::uint32_t count = number(0, 3); count > 0; --count) {
        builder.withCallerWeight("\"caller/~" + std::to_string(count), number(1, 1'000));
    }
    return builder.build();
}

Configuration generatedConfiguration()
{
    Places::Builder places;
    places.withWorkerClass("w", { .slots = 8, .resources = { .cpuMillis = *rc::gen::inRange(0U, 64'000U) } });
    places.withRack("z", generatedName().substr(0, 64), "w", *rc::gen::inRange(0U, 4U));
    Configuration::Builder builder;
    builder.withPlaces(places.build());
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        builder.withService(generatedService(generatedName().substr(0, 64)));
    }
    return builder.build();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationJsonTest)

BOOST_AUTO_TEST_CASE(ParsePrintedConfigurationYieldsEqualValue)
{
    const bool holds = rc::check("parse(print(c)) == c", [] {
        const Configuration configuration = generatedConfiguration();
        const std::string printed = printConfiguration(configuration);
        const Configuration parsed = readConfiguration(printed);
        RC_ASSERT(parsed == configuration);
        RC_ASSERT(printConfiguration(parsed) == printed);
        RC_ASSERT(readConfiguration(compactConfiguration(configuration)) == configuration);
        RC_ASSERT(diff(configuration, parsed).empty());
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(ApplyPatchYieldsSuccessorAndRejectsWrongDigest)
{
    const bool holds = rc::check("applyPatch(a, makePatch(a, b)) == b", [] {
        const StoredConfiguration from = succeeding(nullptr, generatedConfiguration(), { .mark = "a" });
        const StoredConfiguration to = succeeding(&from, generatedConfiguration(), { .mark = "b" });
        RC_ASSERT(applyPatch(from, makePatch(from, to)) == to);
        std::string forged = makePatch(from, to);
        forged.replace(forged.find(to.audit.digest.toString()), 32, Digest::of("other").toString());
        RC_ASSERT_THROWS_AS(applyPatch(from, forged), InvalidDocument);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(ParseReportsEveryFaultWithDocumentPath)
{
    const struct
    {
        std::string text;
        std::vector<std::string> faults;
    } cases[] = {
        { R"({ /* none */ "services": { "a": { "retentionMs": 1, }, }, })", {} },
        { "{}{", { "/: found line 1: extra text, allowed one JSON object" } },
        { "{\n\"services\": }", { "/: found line 2: syntax error, allowed one JSON object" } },
        { "[]", { "/: found [], allowed one JSON object" } },
        { R"({"services":{"a":{"queueLimit":1,"queueLimit":2}}})", { "/services/a/queueLimit: found a repeated field, allowed each field once" } },
        { R"({"services":{"a":{"queuelimit":1,"zzzzzzzzzzzz":2}}, "place":{}})",
          { "/services/a/queuelimit: found an unknown field, allowed did you mean \"queueLimit\"?",
            "/services/a/zzzzzzzzzzzz: found an unknown field, allowed no such field",
            "/place: found an unknown field, allowed did you mean \"places\"?" } },
        { R"({"services":{"a":{"queueLimit":-1,"preference":"fast","zones":["x"],"keyRules":[1]},"B":7}})",
          { "/services/a/keyRules/0: found 1, allowed an object",
            "/services/a/preference: found \"fast\", allowed \"response-time\" or \"wasted-messages\"",
            "/services/a/queueLimit: found -1, allowed 1 to 1000000",
            "/services/B: found 7, allowed an object",
            "/services/B: found \"B\", allowed 1 to 64 lower-case letters, digits and hyphens",
            "/services/a/zones/0: found \"x\", allowed a name under /places/zones" } },
        { R"({"places":{"zones":{"z":{"racks":{"r":{"workerClass":"big","workers":10001}}}}}})",
          { "/places/zones/z/racks/r/workers: found 10001, allowed 0 to 10000",
            "/places/zones/z/racks/r/workerClass: found \"big\", allowed a name under /places/workerClasses" } },
    };
    for (const auto &example : cases) {
        std::vector<std::string> found;
        for (const CheckFault &fault : parseConfiguration(example.text).faults) {
            found.push_back(fault.toString());
        }
        BOOST_TEST_CONTEXT(example.text)
        {
            BOOST_TEST(found == example.faults, boost::test_tools::per_element());
        }
    }
}

BOOST_AUTO_TEST_CASE(DiffListsAddedRemovedAndChangedValues)
{
    const Configuration from = readConfiguration(R"({"services":{"a":{"queueLimit":1},"gone":{}},"places":{"zones":{"z":{}}}})");
    const Configuration to = readConfiguration(R"({"services":{"a":{"queueLimit":2,"zones":["z"]}},"places":{"zones":{"y":{},"z":{}}}})");
    const std::string gone = compactConfiguration(from).substr(compactConfiguration(from).find(R"("gone":)") + 7);
    const std::string expected
        = "+ /places/zones/y: {\"racks\":{}}\n~ /services/a/queueLimit: 1 -> 2\n~ /services/a/zones: [] -> [\"z\"]\n"
          "- /services/gone: "
        + gone.substr(0, gone.size() - 2) + "\n";
    BOOST_TEST(toString(diff(from, to)) == expected);
}

BOOST_AUTO_TEST_SUITE_END()
