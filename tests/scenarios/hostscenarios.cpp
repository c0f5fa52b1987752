#include "harness/scenario.h"

using namespace lagoonroute;
using namespace lagoonroute::harness;
using namespace std::chrono_literals;

namespace
{

constexpr int jobs = 12;

TestJob jobOf(int number)
{
    return TestJob::ofTasks("job-" + std::to_string(number), 2, 200ms);
}

/** Submits every job again, waits for all answers, and requires that all guarantees hold and that a new job completes. */
void finish(Deployment &deployment)
{
    deployment.caller().wait();
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
    }
    deployment.caller().wait();
    const std::size_t complete = deployment.caller().answered("complete");
    deployment.caller().sendUntilAnswered(TestJob::ofTasks("afterwards", 2, 1ms));
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == complete + 1);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Hosts)

BOOST_AUTO_TEST_CASE(KilledExecutorFailsOnlyTasksItRan)
{
    Deployment deployment(Deployment::Options{ .agents = 4, .seed = 41 });
    deployment.caller().setBalancer([] { return std::vector<std::size_t>{ 0, 1 }; });
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
    }
    waitUntil([&] { return deployment.log().starts("upstream-2") > 0; }, "a start at the executor");
    deployment.killHost("agent-2");
    finish(deployment);
    BOOST_TEST(deployment.caller().answered("failed") > 0U);
}

BOOST_AUTO_TEST_CASE(FrozenExecutorRetainsResults)
{
    Deployment deployment(Deployment::Options{ .agents = 4, .seed = 42 });
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
    }
    waitUntil([&] { return deployment.log().starts("upstream-2") > 0; }, "a start at the executor");
    deployment.process("agent-2").signal(SIGSTOP);
    waitUntil([&] { return deployment.log().running() == 0; }, "the upstreams to finish all tasks");
    deployment.process("agent-2").signal(SIGCONT);
    finish(deployment);
    BOOST_TEST(deployment.caller().answered("failed") == 0U);
}

BOOST_AUTO_TEST_CASE(IsolatedZoneServesAfterReconnection)
{
    Deployment deployment(Deployment::Options{ .entries = 3, .agents = 6, .seed = 43, .proxied = true });
    deployment.caller().setBalancer([] { return std::vector<std::size_t>{ 0, 1 }; });
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
    }
    waitUntil([&] { return deployment.log().starts("upstream-2") > 0; }, "a start in the zone");
    deployment.isolate(deployment.neighbours("agent-2", false));
    waitUntil([&] { return deployment.logged("agent-0", "worker gone") >= 2; }, "the home to lose both workers of the zone");
    deployment.caller().wait();
    deployment.clearFaults();
    const std::size_t before = deployment.log().starts("upstream-2");
    int more = 0;
    waitUntil(
        [&] {
            deployment.caller().sendUntilAnswered(TestJob::ofTasks("back-" + std::to_string(more++), 2, 20ms));
            return deployment.log().starts("upstream-2") > before;
        },
        "a start in the zone after its reconnection");
    finish(deployment);
}

BOOST_AUTO_TEST_CASE(LossyNetworkKeepsGuarantees)
{
    Deployment deployment(Deployment::Options{ .agents = 4, .seed = 44, .proxied = true });
    for (const char *name : { "agent-0", "agent-1", "agent-2", "agent-3", "entry-0", "entry-1" }) {
        deployment.proxy(name).setFaults(Faults{ .delay = 3ms, .datagramLoss = 0.2, .datagramReorder = 0.2 });
    }
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
        if (job % 4 == 0) { // Breaks every connection to the home once.
            deployment.proxy("agent-0").setFaults(Faults{ .cut = true });
            deployment.proxy("agent-0").setFaults(Faults{ .delay = 3ms, .datagramLoss = 0.2, .datagramReorder = 0.2 });
        }
    }
    finish(deployment);
}

BOOST_AUTO_TEST_SUITE_END()
