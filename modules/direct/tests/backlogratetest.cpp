#include <lagoonroute/direct/direct.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };

/** Records the same started work for the given number of spans of 10 ms. Returns the end of the last span. */
Instant observe(BacklogRate &rate, double startedWork, bool hadBacklog, int spans, Instant from)
{
    for (int span = 0; span < spans; ++span) {
        from += 10ms;
        rate.observe(startedWork, hadBacklog, from);
    }
    return from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BacklogRateTest)

BOOST_AUTO_TEST_CASE(ExpectedRateAppliesUntilBacklogIsObserved)
{
    BacklogRate rate;
    rate.observe(0, false, start);
    observe(rate, 1000, false, 100, start);
    BOOST_TEST(rate.rate(7) == 7);
}

// Guards against late starts when other entries and more urgent work take most of the capacity that an entry expects.
BOOST_AUTO_TEST_CASE(MeasuredRateAppliesAfterBacklogIsObserved)
{
    BacklogRate rate;
    rate.observe(0, false, start);
    observe(rate, 20'000, true, 100, start); // 2 per microsecond
    BOOST_TEST(rate.rate(10) < 3.5);
    BOOST_TEST(rate.rate(10) > 2);
}

// Guards against refusals of the first jobs that ever wait: the time before the first call is not time without starts.
BOOST_AUTO_TEST_CASE(FirstObservationMeasuresNoTime)
{
    BacklogRate rate;
    rate.observe(0, true, start + 1h);
    BOOST_TEST(rate.rate(7) == 7);
}

BOOST_AUTO_TEST_CASE(OldMeasurementsExpire)
{
    BacklogRate rate;
    rate.observe(0, false, start);
    const Instant later = observe(rate, 20'000, true, 100, start);
    rate.observe(0, false, later + 5s);
    BOOST_TEST(rate.rate(10) > 9.9);
}

BOOST_AUTO_TEST_SUITE_END()
