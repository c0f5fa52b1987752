#include "processlifecycle.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

namespace
{

constexpr Instant start{};
constexpr auto options = [] { return ProcessLifecycle::Options().withWithdrawTime(std::chrono::seconds(1)).withDrainLimit(std::chrono::seconds(5)); };

Instant after(int seconds)
{
    return start + std::chrono::seconds(seconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessLifecycleTest)

BOOST_AUTO_TEST_CASE(PlannedStopWaitsForRemainingWork)
{
    ProcessLifecycle lifecycle(options());
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Starting));
    lifecycle.started();
    lifecycle.update(after(1), true);
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Serving));
    lifecycle.stopSignalled(after(2));
    lifecycle.update(after(2), true);
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Withdrawing));
    lifecycle.update(after(3), true);
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Draining));
    lifecycle.update(after(4), false);
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Draining));
    lifecycle.update(after(5), true);
    BOOST_TEST((lifecycle.phase() == ProcessPhase::Stopped));
    BOOST_TEST(!lifecycle.wasForced());
}

BOOST_AUTO_TEST_CASE(DrainLimitOrSecondSignalForcesStop)
{
    for (const bool bySignal : { false, true }) {
        ProcessLifecycle lifecycle(options());
        lifecycle.started();
        lifecycle.stopSignalled(after(0));
        lifecycle.update(after(1), false);
        if (bySignal) {
            lifecycle.stopSignalled(after(2));
        } else {
            lifecycle.update(after(6), false);
        }
        BOOST_TEST((lifecycle.phase() == ProcessPhase::Stopped));
        BOOST_TEST(lifecycle.wasForced());
    }
}

BOOST_AUTO_TEST_SUITE_END()
