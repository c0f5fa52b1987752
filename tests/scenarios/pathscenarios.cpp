#include "harness/scenario.h"

using namespace lagoonroute::harness;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Path)

BOOST_AUTO_TEST_CASE(ServesJobsEndToEnd)
{
    Deployment deployment(Deployment::Options{ .seed = 11 });
    for (int job = 0; job < 20; ++job) {
        deployment.caller().send(TestJob::ofTasks("wedding-" + std::to_string(job), 1 + job % 5, 20ms));
    }
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 20U);
}

BOOST_AUTO_TEST_CASE(ResubmissionThroughAnotherEntryStartsNoFurtherTask)
{
    Deployment deployment(Deployment::Options{ .seed = 12 });
    TestJob job = TestJob::ofTasks("deposit", 3, 100ms);
    job.idempotent = false;
    deployment.caller().send(job, 0);
    deployment.caller().send(job, 1); // While the job runs.
    deployment.caller().wait();
    deployment.caller().send(job, 1); // After the job was answered.
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 3U);
    BOOST_TEST(deployment.log().starts() == 3U);
}

BOOST_AUTO_TEST_CASE(ResubmissionAfterKilledEntryReturnsOutcome)
{
    Deployment deployment(Deployment::Options{ .seed = 13 });
    const TestJob job = TestJob::ofTasks("ceremony", 3, 300ms);
    deployment.caller().send(job, 0);
    waitUntil([&] { return deployment.log().starts() == 3; }, "three starts");
    deployment.process("entry-0").signal(SIGKILL);
    deployment.caller().send(job, 1);
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 1U);
}

BOOST_AUTO_TEST_CASE(ConcurrentResubmissionsStartEachTaskOnce)
{
    Deployment deployment(Deployment::Options{ .entries = 3, .seed = 14 });
    for (int job = 0; job < 60; ++job) {
        for (int copy = 0; copy < 4; ++copy) {
            deployment.caller().send(TestJob::ofTasks("storm-" + std::to_string(job), 2, 10ms));
        }
    }
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 240U);
    BOOST_TEST(deployment.log().starts() == 120U);
}

BOOST_AUTO_TEST_SUITE_END()
