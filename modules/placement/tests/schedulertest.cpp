#include <lagoonroute/placement/placement.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(SchedulerTest)

BOOST_AUTO_TEST_CASE(PlacementsAreLimitedToSlots)
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

BOOST_AUTO_TEST_CASE(WorkerIsReservedForLargeTaskAfterLongWait)
{
    Instant now{};
    Scheduler scheduler(ServiceRules::Builder("booking").build(), 1);
    scheduler.updateWorker(WorkerState{ .node = NodeId{ 1 }, .slots = 8, .capacity = { 2000, 0, 0 } });
    const auto enqueue = [&](TaskIndex index, std::uint32_t cpuMillis) {
        scheduler.enqueue(TaskDemand{ .task = { {}, index }, .need = { cpuMillis, 0, 0 }, .startBy = now + std::chrono::hours(1) }, now);
    };
    enqueue(0, 1000);
    const TaskIndex large = 1000;
    auto running = scheduler.nextPlacement(now);
    enqueue(large, 2000);
    // The small tasks always overlap, so that the worker is never empty without a reservation.
    for (TaskIndex index = 1; index < 100; ++index) {
        now += std::chrono::milliseconds(100);
        enqueue(index, 1000);
        const auto next = scheduler.nextPlacement(now);
        if (next && next->task.index == large) {
            return;
        }
        if (running) {
            scheduler.attemptEnded(running->task, running->worker, AttemptResult::Succeeded, std::chrono::milliseconds(100), now);
        }
        running = next;
    }
    BOOST_TEST(false, "the large task never started");
}

BOOST_AUTO_TEST_CASE(RefusedTaskIsDelayedAndWorkerIsAvoided)
{
    const Instant now{};
    Scheduler scheduler(ServiceRules::Builder("booking").build(), 1);
    scheduler.updateWorker(WorkerState{ .node = NodeId{ 1 }, .slots = 8 });
    const TaskDemand task{ .startBy = now + std::chrono::hours(1) };
    scheduler.enqueue(task, now);
    BOOST_TEST(scheduler.nextPlacement(now).has_value());
    scheduler.attemptEnded(task.task, NodeId{ 1 }, AttemptResult::RefusedNotStarted, Duration{ 0 }, now);
    scheduler.enqueue(task, now);
    BOOST_TEST(!scheduler.nextPlacement(now).has_value());
    const TaskDemand fresh{ .task = { {}, 1 }, .startBy = task.startBy };
    scheduler.enqueue(fresh, now);
    BOOST_TEST(!scheduler.nextPlacement(now).has_value());
    BOOST_TEST(scheduler.remove(fresh.task));
    BOOST_TEST(scheduler.waiting() == 1U);
    const auto wake = scheduler.nextWake();
    BOOST_TEST((wake && *wake > now && *wake <= now + std::chrono::milliseconds(10)));
    BOOST_TEST(scheduler.nextPlacement(now + std::chrono::milliseconds(10)).has_value());
}

BOOST_AUTO_TEST_CASE(TasksQueuedAtStragglerAreReturnedForWithdrawal)
{
    Instant now{};
    Scheduler scheduler(ServiceRules::Builder("booking").withExecutorQueueDepth(1).build(), 1);
    for (std::uint64_t worker = 1; worker <= 3; ++worker) {
        scheduler.updateWorker(WorkerState{ .node = NodeId{ worker }, .slots = 1 });
    }
    TaskIndex index = 0;
    for (int round = 0; round < 30; ++round) {
        for (std::uint64_t worker = 1; worker <= 3; ++worker) {
            now += std::chrono::milliseconds(20);
            const TaskDemand task{ .task = { {}, ++index }, .declaredRunTime = std::chrono::milliseconds(100), .startBy = now + std::chrono::hours(1) };
            scheduler.adopt(task, NodeId{ worker }, now);
            scheduler.attemptEnded(task.task, NodeId{ worker }, AttemptResult::Succeeded, std::chrono::milliseconds(worker == 1 ? 1000 : 100), now);
        }
    }
    for (const TaskIndex queued : { 5000, 5001 }) {
        scheduler.adopt(TaskDemand{ .task = { {}, queued }, .startBy = now + std::chrono::hours(1) }, NodeId{ 1 }, now);
    }
    const auto found = scheduler.takeStragglerWithdrawals(now);
    BOOST_TEST(found.size() == 1U);
    BOOST_TEST((!found.empty() && found.front() == Placement{ { {}, 5001 }, NodeId{ 1 } }));
    BOOST_TEST(scheduler.takeStragglerWithdrawals(now).empty());
}

BOOST_AUTO_TEST_SUITE_END()
