#include "harness/scenario.h"

using namespace lagoonroute;
using namespace lagoonroute::harness;
using namespace std::chrono_literals;

namespace
{

constexpr int jobs = 10;

/** State of the jobs in which a fault is injected. */
enum class Phase : std::uint8_t {
    Submitted,
    Running,
    Answered,
};

TestJob jobOf(int number)
{
    return TestJob::ofTasks("job-" + std::to_string(number), 2, 150ms);
}

void submitAll(Deployment &deployment)
{
    for (int job = 0; job < jobs; ++job) {
        deployment.caller().sendUntilAnswered(jobOf(job));
    }
}

void reach(Deployment &deployment, Phase phase)
{
    submitAll(deployment);
    if (phase == Phase::Running) {
        waitUntil([&] { return deployment.log().running() >= 4; }, "running tasks");
    } else if (phase == Phase::Answered) {
        deployment.caller().wait();
    }
}

/** Submits every job again, and requires that all guarantees hold and that a new job completes. */
void finish(Deployment &deployment)
{
    deployment.caller().wait();
    submitAll(deployment);
    deployment.caller().wait();
    const std::size_t complete = deployment.caller().answered("complete");
    deployment.caller().sendUntilAnswered(TestJob::ofTasks("afterwards", 2, 1ms));
    deployment.caller().wait();
    requireGuarantees(deployment);
    BOOST_TEST(deployment.caller().answered("complete") == complete + 1);
}

void killHomeIn(Phase phase, std::uint64_t seed)
{
    Deployment deployment(Deployment::Options{ .entries = 2, .agents = 6, .seed = seed, .store = true });
    const std::string home = deployment.home();
    reach(deployment, phase);
    deployment.killHost(home);
    waitUntil([&] { return deployment.home() != home; }, "another home");
    finish(deployment);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Store)

BOOST_AUTO_TEST_CASE(HomeKilledWhenJobsAreSubmitted)
{
    killHomeIn(Phase::Submitted, 51);
}

BOOST_AUTO_TEST_CASE(HomeKilledWhenJobsRun)
{
    killHomeIn(Phase::Running, 52);
}

BOOST_AUTO_TEST_CASE(HomeKilledWhenJobsAreAnswered)
{
    killHomeIn(Phase::Answered, 53);
}

BOOST_AUTO_TEST_CASE(FrozenHomeResumesAfterReplacement)
{
    Deployment deployment(Deployment::Options{ .entries = 2, .agents = 6, .seed = 54, .store = true });
    const std::string home = deployment.home();
    reach(deployment, Phase::Running);
    deployment.process(home).signal(SIGSTOP);
    waitUntil([&] { return deployment.home() != home; }, "another home");
    deployment.process(home).signal(SIGCONT);
    finish(deployment);
}

BOOST_AUTO_TEST_CASE(HomeRackFailsAtOnce)
{
    Deployment deployment(Deployment::Options{ .entries = 3, .agents = 6, .seed = 55, .store = true });
    const std::string home = deployment.home("entry-0");
    const std::string observer = deployment.neighbours(home, true).back() == "entry-0" ? "entry-1" : "entry-0";
    reach(deployment, Phase::Running);
    for (const std::string &name : deployment.neighbours(home, true)) {
        deployment.killHost(name);
    }
    waitUntil([&] { return deployment.home(observer) != home; }, "another home");
    finish(deployment);
}

BOOST_AUTO_TEST_CASE(StoreUnavailableForWholeRun)
{
    Deployment deployment(Deployment::Options{ .entries = 2, .agents = 6, .seed = 56, .store = true });
    deployment.process("store").signal(SIGKILL);
    submitAll(deployment);
    deployment.process("entry-0").signal(SIGKILL);
    finish(deployment);
    BOOST_TEST(deployment.caller().answered("failed") == 0U);
}

BOOST_AUTO_TEST_CASE(PlannedRestartOfEveryAgentInterruptsNoRequest)
{
    Deployment deployment(Deployment::Options{ .entries = 2, .agents = 4, .seed = 57, .store = true });
    deployment.balanceByReadiness();
    int sent = 0;
    const auto load = [&] {
        deployment.caller().sendUntilAnswered(TestJob::ofTasks("load-" + std::to_string(sent++), 2, 30ms));
        std::this_thread::sleep_for(10ms);
    };
    for (const char *agent : { "agent-0", "agent-1", "agent-2", "agent-3" }) {
        deployment.process(agent).signal(SIGTERM);
        while (deployment.process(agent).isRunning()) {
            load();
        }
        BOOST_TEST(deployment.process(agent).wait() == 0);
        deployment.restart(agent);
    }
    deployment.caller().wait();
    Evidence evidence = deployment.evidence();
    evidence.onlyPlannedStops = true;
    requireGuarantees(evidence);
}

BOOST_AUTO_TEST_CASE(ConflictingSubmissionsOneRevisionInForceEverywhere)
{
    Deployment deployment(Deployment::Options{ .entries = 2, .agents = 3, .seed = 58, .store = true });
    const int first = deployment.submitConfiguration(R"({"services":{"booking":{"queueLimit":100}}})", 1);
    const int second = deployment.submitConfiguration(R"({"services":{"booking":{"queueLimit":200}}})", 1);
    BOOST_TEST(first == 0);
    BOOST_TEST(second == 3); // ConfigExit::Conflict
    Evidence evidence = deployment.evidence();
    evidence.acceptedRevision = 2;
    const auto observe = [&] {
        bool isInForce = true;
        for (const char *name : { "agent-0", "agent-1", "agent-2", "entry-0", "entry-1" }) {
            const Revision revision = deployment.revision(name);
            evidence.revisions.push_back({ name, revision });
            isInForce = isInForce && revision == evidence.acceptedRevision;
        }
        return isInForce;
    };
    waitUntil(observe, "the revision to be in force everywhere");
    deployment.process("store").signal(SIGKILL);
    deployment.process("agent-2").signal(SIGKILL);
    deployment.restart("agent-2"); // Receives the revision from its peers.
    waitUntil([&] { return deployment.revision("agent-2") >= 2; }, "the revision after a restart");
    observe();
    requireGuarantees(evidence);
}

BOOST_AUTO_TEST_SUITE_END()
