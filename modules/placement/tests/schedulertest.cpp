#include <lagoonroute/placement/placement.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(SchedulerTest)

BOOST_AUTO_TEST_CASE(PlacesNoMoreThanTheSlots)
{
    const Instant now{};
    Scheduler scheduler(ServiceRules::Builder("booking").build(), 1);
    scheduler.updateWorker(WorkerState{ .node = NodeId::fromName("a"), .slots = 2, .connections = 64 });
    for (TaskIndex index = 0; index < 3; ++index) {
        scheduler.enqueue(TaskDemand{ .task = { {}, index }, .startBy = now + std::chrono::seconds(1) }, now);
    }
    BOOST_TEST(scheduler.nextPlacement(now).has_value());
    BOOST_TEST(scheduler.nextPlacement(now).has_value());
    BOOST_TEST(!scheduler.nextPlacement(now).has_value());
    BOOST_TEST(scheduler.waiting() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
