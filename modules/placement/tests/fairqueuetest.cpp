#include <lagoonroute/placement/fairqueue.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

const FairQueue::Accepts anyTask = [](const WaitingTask &) { return true; };

WaitingTask waitingTask(TaskIndex index, const std::string &caller, Duration enqueued, Duration startBy = 60s)
{
    return { TaskDemand{ .task = { {}, index }, .caller = caller, .startBy = Instant(startBy) }, 100ms, Instant(enqueued) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

BOOST_AUTO_TEST_CASE(TasksLeaveInArrivalOrderUnlessDeadlineIsNear)
{
    FairQueue queue(FairQueue::Options{});
    queue.setSlots(10);
    queue.push(waitingTask(0, "a", 10ms));
    queue.push(waitingTask(1, "b", 20ms));
    queue.push(waitingTask(2, "c", 30ms, 1s));
    for (const TaskIndex expected : { 2, 0, 1 }) {
        BOOST_TEST(queue.takeFirst(anyTask)->demand.task.index == expected);
    }
}

BOOST_AUTO_TEST_CASE(ArrivalOrderIsIndependentOfAbsoluteTime)
{
    FairQueue queue(FairQueue::Options{});
    queue.setSlots(10);
    for (const Duration start : { Duration(5ms), Duration(24h), Duration(1000h) }) {
        for (const char *caller : { "a", "b" }) {
            queue.push(waitingTask(0, caller, start, 2000h));
            BOOST_TEST(queue.takeFirst(anyTask).has_value());
        }
        queue.push(waitingTask(1, "b", start + 10ms, 2000h));
        queue.push(waitingTask(2, "a", start + 20ms, 2000h));
        BOOST_TEST(queue.takeFirst(anyTask)->demand.caller == "b");
        BOOST_TEST(queue.takeFirst(anyTask)->demand.caller == "a");
    }
}

BOOST_AUTO_TEST_CASE(SlotsAreSharedByWeightAndBacklogDoesNotDelayNewCaller)
{
    FairQueue queue(FairQueue::Options{});
    queue.setSlots(10);
    queue.setWeights({ { "heavy", 3 } }, 1);
    for (TaskIndex index = 0; index < 2000; ++index) {
        queue.push(waitingTask(index, "heavy", 0s));
        queue.push(waitingTask(10000 + index, "light", 0s));
    }
    std::map<std::string, int> taken;
    for (int count = 0; count < 1000; ++count) {
        ++taken[queue.takeFirst(anyTask)->demand.caller];
    }
    BOOST_TEST(taken["heavy"] > 740);
    BOOST_TEST(taken["heavy"] < 760);

    queue.push(waitingTask(30000, "newcomer", 10s));
    int before = 0;
    while (queue.takeFirst(anyTask)->demand.caller != "newcomer") {
        ++before;
    }
    const auto tasksInTwoTolerances = 2 * FairQueue::Options{}.tolerance / 10ms;
    BOOST_TEST(before <= tasksInTwoTolerances);
}

BOOST_AUTO_TEST_CASE(EveryTaskLeavesExactlyOnce)
{
    const bool holds = rc::check("every task leaves the queue exactly once, and size and work stay consistent", [] {
        FairQueue queue(FairQueue::Options{});
        queue.setSlots(4);
        std::set<TaskIndex> waiting;
        TaskIndex next = 0;
        Duration now = 0s;
        const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 6));
        for (const std::uint8_t step : steps) {
            now += 10ms;
            if (step < 3) {
                queue.push(waitingTask(next, std::string(1, static_cast<char>('a' + step)), now, now + 50ms * (1 + next % 7)));
                waiting.insert(next++);
            } else if (step == 3) {
                const auto taken = queue.takeFirst(anyTask);
                RC_ASSERT(taken.has_value() == !waiting.empty());
                RC_ASSERT(!taken || waiting.erase(taken->demand.task.index) == 1);
            } else if (step == 4 && !waiting.empty()) {
                RC_ASSERT(queue.remove({ {}, *waiting.rbegin() }).has_value());
                waiting.erase(std::prev(waiting.end()));
            } else {
                for (const TaskId &task : queue.takeExpired(Instant(now))) {
                    RC_ASSERT(waiting.erase(task.index) == 1);
                }
            }
            RC_ASSERT(queue.size() == waiting.size());
            RC_ASSERT(queue.work() == 100ms * static_cast<int>(waiting.size()));
            RC_ASSERT(queue.sizeOf("a") + queue.sizeOf("b") + queue.sizeOf("c") == waiting.size());
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
