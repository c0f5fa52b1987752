#include <lagoonroute/configuration/configuration.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ServiceRulesBuilderTest)

BOOST_AUTO_TEST_CASE(BuildInvalidRulesReportsEveryFault)
{
    ServiceRules::Builder builder("booking");
    builder.withUpstreamPath("tasks")
        .withQueueLimit(0)
        .withLargestTaskCount(791)
        .withCallerWeight("planner a/~", 1001)
        .withDefaultDeadline(11min)
        .withKeyRules({ KeyRule::header(""), KeyRule::bodyPointer("hold") })
        .withEjection(EjectionRules().withProbeInterval(1500us))
        .withZones({ "plateau", "Medina", "plateau" });
    std::vector<std::string> lines;
    try {
        static_cast<void>(builder.build());
    } catch (const InvalidConfiguration &error) {
        for (const CheckFault &fault : error.faults()) {
            lines.push_back(fault.toString());
        }
    }
    const std::vector<std::string> expected{
        "/services/booking/callerWeights/planner a~1~0: found \"planner a/~\", allowed 1 to 128 printable ASCII characters without spaces",
        "/services/booking/callerWeights/planner a~1~0: found 1001, allowed 1 to 1000",
        "/services/booking/ejection/probeIntervalMs: found 1500 microseconds, allowed 10 to 3600000 whole milliseconds",
        "/services/booking/keyRules/0/name: found \"\", allowed the header's name or the JSON pointer",
        "/services/booking/keyRules/1/name: found \"hold\", allowed a JSON pointer, which begins with /",
        "/services/booking/largestTaskCount: found 791, allowed 1 to 790",
        "/services/booking/queueLimit: found 0, allowed 1 to 1000000",
        "/services/booking/upstreamPath: found \"tasks\", allowed 1 to 256 printable ASCII characters without spaces, the first of them /",
        "/services/booking/zones/0: found \"Medina\", allowed 1 to 64 lower-case letters, digits and hyphens",
        "/services/booking/zones: found \"plateau\" twice, allowed each name once",
        "/services/booking/defaultDeadlineMs: found 660000, allowed at most largestDeadlineMs, 600000",
    };
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
