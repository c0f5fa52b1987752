#include <lagoonroute/placement/placement.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

const NodeId worker = NodeId::fromName("a");

Scheduler schedulerWithWorker(std::uint32_t queueLimit = 100)
{
    Scheduler scheduler(ServiceRules::Builder("booking").withQueueLimit(queueLimit).build(), 1);
    scheduler.updateWorker(WorkerState{ .node = worker, .incarnation = 1, .slots = 2, .connections = 64, .capacity = { 4000, 1024, 0 } });
    return scheduler;
}

std::vector<TaskDemand> job(std::size_t tasks, const std::string &caller = "fatou", Duration startBy = 60s)
{
    static std::uint64_t number = 0;
    ++number;
    std::vector<TaskDemand> demands;
    for (TaskIndex index = 0; index < tasks; ++index) {
        demands.push_back({ .task = { JobId{ { number, number } }, index }, .caller = caller, .declaredRunTime = 100ms, .startBy = Instant(startBy) });
    }
    return demands;
}

void enqueue(Scheduler &scheduler, const std::vector<TaskDemand> &tasks)
{
    for (const TaskDemand &task : tasks) {
        scheduler.enqueue(task, Instant{});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionControlTest)

BOOST_AUTO_TEST_CASE(UnrunnableJobIsRefused)
{
    Scheduler scheduler = schedulerWithWorker();
    auto tooLarge = job(1);
    tooLarge.front().need.accelerators = 1;
    BOOST_TEST((scheduler.admit(tooLarge, Instant{})->reason == Reason::NeverRunnable));
    BOOST_TEST((scheduler.admit(job(1, "fatou", 99ms), Instant{})->reason == Reason::DeadlineTooShort));
    BOOST_TEST(!scheduler.admit(job(1, "fatou", 100ms), Instant{}).has_value());

    scheduler.updateWorker(WorkerState{ .node = NodeId::fromName("b"), .slots = 2, .capacity = { 0, 0, 4 } });
    BOOST_TEST(!scheduler.admit(tooLarge, Instant{}).has_value());
    scheduler.removeWorker(NodeId::fromName("b"));
    const auto refusal = scheduler.admit(tooLarge, Instant{});
    BOOST_TEST((refusal->reason == Reason::NoWorker));
    BOOST_TEST(refusal->retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(FloodingCallerIsRefusedBeforeOthers)
{
    Scheduler scheduler = schedulerWithWorker();
    std::size_t admitted = 0;
    while (!scheduler.admit(job(1, "flood"), Instant{})) {
        enqueue(scheduler, job(1, "flood"));
        ++admitted;
    }
    BOOST_TEST(admitted == 50U);
    BOOST_TEST((scheduler.admit(job(1, "flood"), Instant{})->reason == Reason::Overloaded));
    BOOST_TEST(!scheduler.admit(job(30, "other"), Instant{}).has_value());
}

BOOST_AUTO_TEST_CASE(JobIsRefusedWhenExpectedWaitExceedsDeadline)
{
    Scheduler scheduler = schedulerWithWorker(10000);
    enqueue(scheduler, job(200, "fatou")); // 10 s of work per slot
    const auto refusal = scheduler.admit(job(1, "fatou", 5s), Instant{});
    BOOST_TEST((refusal->reason == Reason::Overloaded));
    BOOST_TEST(refusal->retryAfter.has_value());
    BOOST_TEST(!scheduler.admit(job(1, "fatou", 20s), Instant{}).has_value());
    BOOST_TEST(!scheduler.admit(job(1, "other", 5s), Instant{}).has_value()); // its own share of the slots shortens the expected wait
}

BOOST_AUTO_TEST_SUITE_END()
