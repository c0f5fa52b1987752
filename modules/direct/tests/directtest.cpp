#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(DirectTest)

BOOST_AUTO_TEST_CASE(LoadWithoutFaultsIsServedWithinObjectives)
{
    Deployment deployment;
    Workload workload(deployment.simulation, bookingKinds(), 3, 7);
    workload.setLoad(0.66);
    workload.run(10s);
    deployment.simulation.runFor(5s);
    const WorkloadResult result = resultOf(deployment.simulation);
    BOOST_TEST(result.submitted > 500U);
    BOOST_TEST(result.unanswered == 0U);
    BOOST_TEST(result.notRun == 0U);
    BOOST_TEST(result.failed == 0U);
    BOOST_TEST(result.shareWithinObjective() >= 0.99);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(ResubmissionGetsSameAnswerWithoutSecondRun)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "reprice", deployment.makeJob(2, 200ms), 200ms, 3s);
    deployment.simulation.runFor(50ms);
    const std::size_t second = deployment.simulation.resubmit(0, first, 3s, false);
    deployment.simulation.runFor(1s);
    const std::size_t third = deployment.simulation.resubmit(0, first, 3s, false);
    deployment.simulation.runFor(1s);
    for (const std::size_t position : { first, second, third }) {
        BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    }
    BOOST_TEST(deployment.simulation.startCount({ deployment.submission(first).job, 0, 0 }) == 1U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(StepStartsAfterItsPredecessor)
{
    Deployment deployment;
    DirectJob job = deployment.makeJob(3, 100ms);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = { 0 };
    const std::size_t position = deployment.simulation.submit(0, "reprice", job, 100ms, 3s);
    deployment.simulation.runFor(60ms);
    BOOST_TEST(deployment.simulation.startCount({ job.id, 0, 0 }) == 1U);
    BOOST_TEST(deployment.simulation.startCount({ job.id, 1, 0 }) == 0U);
    deployment.simulation.runFor(1s);
    BOOST_TEST(deployment.simulation.startCount({ job.id, 1, 0 }) == 1U);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
}

BOOST_AUTO_TEST_CASE(UnrunnableJobIsRefusedImmediatelyAndNeverStarts)
{
    Deployment deployment;
    DirectJob tooLarge = deployment.makeJob(1, 100ms);
    tooLarge.steps.front().need.cpuMillis = 200'000;
    DirectJob unsupportedJob = deployment.makeJob(1, 100ms);
    unsupportedJob.unsupported = { "a job that must be kept" };
    for (const DirectJob &job : { tooLarge, unsupportedJob }) {
        const std::size_t position = deployment.simulation.submit(0, "reprice", job, 100ms, 3s);
        BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::NotRun));
    }
    deployment.simulation.runFor(1s);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(JobWithFailingTaskFailsAfterMaxAttempts)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "lookup", deployment.makeJob(1, 60ms), 60ms, 3s, true);
    deployment.simulation.runFor(2s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Failed));
    BOOST_TEST(deployment.simulation.startCount({ deployment.submission(position).job, 0, 0 }) == 3U);
}

BOOST_AUTO_TEST_CASE(DisconnectOfClientAccountStopsItsRuns)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(4, 900ms), 900ms, 3s);
    deployment.simulation.runFor(50ms);
    deployment.simulation.disconnect(position);
    deployment.simulation.runFor(200ms);
    BOOST_TEST(deployment.firstBusyAgent() == 11U);
    BOOST_TEST(deployment.simulation.entryCore(0).openJobs() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
