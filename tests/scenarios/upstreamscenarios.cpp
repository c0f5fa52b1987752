#include "harness/scenario.h"

using namespace lagoonroute;
using namespace lagoonroute::harness;
using namespace std::chrono_literals;

namespace
{

void sendJobs(Deployment &deployment, const std::string &prefix, std::size_t jobs, std::size_t tasks, std::chrono::milliseconds work)
{
    for (std::size_t job = 0; job < jobs; ++job) {
        deployment.caller().send(TestJob::ofTasks(prefix + std::to_string(job), tasks, work));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Upstreams)

BOOST_AUTO_TEST_CASE(BurstWithStragglerCompletes)
{
    Deployment deployment(Deployment::Options{ .seed = 21 });
    deployment.upstream(0).setSlowness(10);
    sendJobs(deployment, "burst-", 60, 2, 10ms);
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 60U);
}

BOOST_AUTO_TEST_CASE(AlwaysFailingUpstreamIsEjected)
{
    constexpr std::size_t jobs = 300;
    constexpr std::size_t agents = 4;
    Deployment deployment(Deployment::Options{ .agents = agents, .seed = 22 });
    sendJobs(deployment, "before-", 80, 1, 20ms);
    deployment.caller().wait();
    const std::size_t before = deployment.log().starts("upstream-0");
    deployment.upstream(0).setMode(UpstreamMode::FailingFast);
    sendJobs(deployment, "after-", jobs, 1, 20ms);
    deployment.caller().wait();
    requireGuarantees(deployment);
    const std::size_t failed = deployment.log().starts("upstream-0") - before;
    BOOST_TEST(failed >= 1U);
    BOOST_TEST(failed < jobs / agents); // Without ejection it would receive far more than its share, since it always has free capacity.
    BOOST_TEST(deployment.caller().answered("failed") == failed);
}

BOOST_AUTO_TEST_CASE(JobsWithWrongDeclaredRunTimesComplete)
{
    Deployment deployment(Deployment::Options{ .seed = 23 });
    for (int index = 0; index < 30; ++index) {
        TestJob job = TestJob::ofTasks("wrong-" + std::to_string(index), 2, index % 2 == 0 ? 100ms : 1ms);
        job.declared = index % 2 == 0 ? 1ms : 30000ms;
        // Jobs whose declared run time is too long are rejected until the estimates have corrected the declarations.
        deployment.caller().sendUntilAnswered(job);
    }
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == 30U);
}

BOOST_AUTO_TEST_CASE(CancelledJobsAreFailedOrNotRun)
{
    constexpr std::size_t jobs = 30;
    Deployment deployment(Deployment::Options{ .seed = 24 });
    sendJobs(deployment, "wave-", jobs, 2, 20s);
    waitUntil([&] { return deployment.log().starts() >= 12; }, "every slot to be taken");
    // Cancels in reverse order, so that few slots become free for jobs that are not cancelled yet.
    for (std::size_t job = jobs; job > 0; --job) {
        BOOST_TEST(deployment.caller().cancel("wave-" + std::to_string(job - 1), job % 2) != 0U);
    }
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("failed") + deployment.caller().answered("not-run") == jobs);
    BOOST_TEST(deployment.caller().answered("not-run") > 0U);
}

BOOST_AUTO_TEST_CASE(ErrorAfterWorkFailsJobAndNamesStartedTasks)
{
    Deployment deployment(Deployment::Options{ .agents = 1, .seed = 25 });
    deployment.upstream(0).setMode(UpstreamMode::FailingAfterWork);
    deployment.caller().send(TestJob::ofTasks("error", 3, 20ms), 0);
    deployment.caller().wait();
    deployment.caller().send(TestJob::ofTasks("error", 3, 20ms), 1);
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("failed") == 2U);
    BOOST_TEST(deployment.log().starts() == 3U);
}

BOOST_AUTO_TEST_CASE(TruncatedAnswerIsNotRetried)
{
    Deployment deployment(Deployment::Options{ .agents = 1, .seed = 26 });
    FaultProxy proxy("127.0.0.1", deployment.upstream(0).address(), 26);
    proxy.setFaults(Faults{ .answersLost = true, .answerBytes = 20 });
    deployment.upstream(0).announceAt(proxy.address());
    waitUntil([&] { return deployment.upstream(0).isAnnounced(); }, "the announcement through the proxy");
    for (int copy = 0; copy < 2; ++copy) {
        deployment.caller().send(TestJob::ofTasks("cut", 2, 10ms));
        deployment.caller().wait();
    }
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("failed") == 2U);
    BOOST_TEST(deployment.log().starts() == 2U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveUpstreamFailsJobAtDeadline)
{
    Deployment deployment(Deployment::Options{ .agents = 1, .seed = 27 });
    deployment.upstream(0).setMode(UpstreamMode::NeverAnswering);
    TestJob job = TestJob::ofTasks("silent", 2, 10ms);
    job.deadline = 700ms;
    deployment.caller().send(job);
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("failed") == 1U);
}

BOOST_AUTO_TEST_CASE(TerminatedUpstreamFailsOnlyTasksItRan)
{
    Deployment deployment(Deployment::Options{ .seed = 28 });
    sendJobs(deployment, "job-", 24, 1, 150ms);
    waitUntil([&] { return deployment.log().starts("upstream-0") > 0; }, "a start at the worker");
    deployment.killUpstream(0);
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("failed") > 0U);
    BOOST_TEST(deployment.caller().answered("complete") >= 12U);
}

BOOST_AUTO_TEST_CASE(WithdrawnUpstreamGetsNoNewTasks)
{
    Deployment deployment(Deployment::Options{ .seed = 29 });
    sendJobs(deployment, "before-", 12, 1, 50ms);
    waitUntil([&] { return deployment.log().starts("upstream-0") > 0; }, "a start at the leaving upstream");
    deployment.upstream(0).withdraw();
    const Instant left = MonotonicClock::now();
    for (int job = 0; MonotonicClock::now() < left + 4s; ++job) {
        deployment.caller().send(TestJob::ofTasks("after-" + std::to_string(job), 2, 20ms));
        std::this_thread::sleep_for(20ms);
    }
    deployment.caller().wait();
    Evidence evidence = deployment.evidence();
    evidence.onlyPlannedStops = true;
    requireGuarantees(evidence);
}

BOOST_AUTO_TEST_CASE(PlannedRestartOfEveryEntryInterruptsNoRequest)
{
    Deployment deployment(Deployment::Options{ .entries = 3, .seed = 30 });
    deployment.balanceByReadiness();
    int sent = 0;
    const auto load = [&] {
        deployment.caller().sendUntilAnswered(TestJob::ofTasks("job-" + std::to_string(sent++), 2, 30ms));
        std::this_thread::sleep_for(5ms);
    };
    for (const char *entry : { "entry-0", "entry-1", "entry-2" }) {
        deployment.process(entry).signal(SIGTERM);
        while (deployment.process(entry).isRunning()) {
            load();
        }
        BOOST_TEST(deployment.process(entry).wait() == 0);
        deployment.restart(entry);
    }
    deployment.caller().wait();
    Evidence evidence = deployment.evidence();
    evidence.onlyPlannedStops = true;
    requireGuarantees(evidence);
}

BOOST_AUTO_TEST_SUITE_END()
