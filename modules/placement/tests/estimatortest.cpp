#include <lagoonroute/placement/retrybudget.h>
#include <lagoonroute/placement/runtimeestimator.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RunTimeEstimatorTest)

BOOST_AUTO_TEST_CASE(WrongDeclaredRunTimesAreCorrected)
{
    RunTimeEstimator estimator;
    BOOST_TEST(estimator.estimate("a", 300ms).count() == 300'000);
    for (int step = 1; step <= 200; ++step) {
        const Duration real = 10ms * (step % 50 + 1);
        estimator.observe("tenfold", 10 * real, real);
        estimator.observe("senseless", step % 2 == 0 ? 1us : Duration(1h), 200ms);
    }
    BOOST_TEST(estimator.estimate("tenfold", 1s) >= 90ms);
    BOOST_TEST(estimator.estimate("tenfold", 1s) <= 110ms);
    for (const Duration declared : { Duration(1us), Duration(1h) }) {
        BOOST_TEST(estimator.estimate("senseless", declared) >= 180ms);
        BOOST_TEST(estimator.estimate("senseless", declared) <= 220ms);
    }
    estimator.observe("senseless", 1us, 1h);
    BOOST_TEST(estimator.estimate("senseless", 0us) <= 220ms); // one outlier has little effect
}

BOOST_AUTO_TEST_CASE(RetryBudgetLimitsRetriesToShareOfNewTasks)
{
    RetryBudget budget(RetryBudget::Options{}.withShare(0.2).withRate(0, 5));
    int spent = 0;
    for (int task = 0; task < 100; ++task) {
        budget.earn();
        spent += budget.spend(Instant{}) ? 1 : 0;
    }
    BOOST_TEST(spent <= 25); // a fifth of the new tasks plus the initial capacity of five
    BOOST_TEST(spent >= 24);

    PlacementRandom random(1);
    for (std::uint32_t refusals = 0; refusals < 40; ++refusals) {
        const Duration longest = std::min(Duration(1s), Duration(5ms) * (1 << std::min(refusals, 16U)));
        const Duration backOff = budget.backOff(refusals, random);
        BOOST_TEST(backOff.count() > (longest / 2).count());
        BOOST_TEST(backOff.count() <= longest.count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
