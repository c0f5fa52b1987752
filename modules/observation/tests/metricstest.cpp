#include <lagoonroute/observation/metrics.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(RenderContainsCountersGaugesAndSummaries)
{
    MetricsRegistry registry;
    registry.counter("jobs_total", { { "outcome", "not-run" }, { "detail", "a \"b\"" } }).add(3);
    registry.gauge("waiting").set(-1);
    for (int index = 1; index <= 1000; ++index) {
        registry.summary("answer_seconds").observe(std::chrono::milliseconds(index));
    }
    const std::string text = registry.render();
    BOOST_TEST(text.find("jobs_total{outcome=\"not-run\",detail=\"a \\\"b\\\"\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("waiting -1\n") != std::string::npos);
    BOOST_TEST(text.find("answer_seconds_count 1000\n") != std::string::npos);
    const auto snapshot = registry.summary("answer_seconds").snapshot();
    BOOST_TEST(snapshot.medianSeconds == 0.5, boost::test_tools::tolerance(0.05));
    BOOST_TEST(snapshot.p99Seconds == 0.99, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()
