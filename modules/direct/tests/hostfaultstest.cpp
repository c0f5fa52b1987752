#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(HostFaultsTest)

BOOST_AUTO_TEST_CASE(RunsOfKilledEntryStopBeforeResubmissionStartsThem)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "hold", deployment.makeJob(4, 3000ms), 3000ms, 5s);
    deployment.simulation.runFor(100ms);
    deployment.simulation.killEntry(0, 2s);
    deployment.simulation.runFor(1300ms);
    const std::size_t second = deployment.simulation.resubmit(1, first, 5s);
    deployment.simulation.runFor(5s);
    BOOST_TEST((deployment.submission(second).answer.verdict == DirectVerdict::Completed));
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(RunsOfFrozenEntryStopBeforeResubmissionStartsThem)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "hold", deployment.makeJob(4, 3000ms), 3000ms, 9s);
    deployment.simulation.runFor(100ms);
    deployment.simulation.freezeEntry(0, 4s);
    deployment.simulation.runFor(1300ms);
    const std::size_t second = deployment.simulation.resubmit(1, first, 5s);
    deployment.simulation.runFor(8s);
    BOOST_TEST((deployment.submission(second).answer.verdict == DirectVerdict::Completed));
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(FrozenAgentStartsNoDeferredTasks)
{
    Deployment deployment;
    std::vector<std::size_t> positions;
    for (std::size_t count = 0; count < 30; ++count) {
        positions.push_back(deployment.simulation.submit(count % 3, "hold", deployment.makeJob(3, 900ms), 900ms, 9s));
    }
    deployment.simulation.freezeAgent(0, 4s);
    deployment.simulation.freezeAgent(1, 4s);
    deployment.simulation.runFor(12s);
    for (const std::size_t position : positions) {
        BOOST_TEST(deployment.submission(position).answeredAt.has_value());
    }
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(TaskOfKilledAgentRunsAgainOnce)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(1, 2000ms), 2000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.firstBusyAgent();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.killAgent(agent, 200ms);
    deployment.simulation.runFor(8s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.startCount({ deployment.submission(position).job, 0, 0 }) == 2U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(RestartedAgentOpensBeforeNextUpstreamReport)
{
    Deployment deployment;
    for (std::size_t agent = 0; agent < 11; ++agent) {
        deployment.simulation.killAgent(agent, 100ms);
    }
    deployment.simulation.runFor(300ms);
    for (std::size_t agent = 0; agent < 11; ++agent) {
        BOOST_TEST(deployment.simulation.agentCore(agent).isOpen(), "agent " << agent);
    }
    // A persisted report from an earlier incarnation of the upstream is not valid.
    deployment.simulation.killAgent(3, 100ms);
    deployment.simulation.crashUpstream(3, 50ms);
    deployment.simulation.runFor(3s);
    BOOST_TEST(deployment.simulation.agentCore(3).isOpen());
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(PermanentlyGoneAgentIsRemovedFromRegistry)
{
    Deployment deployment;
    BOOST_TEST(deployment.simulation.entryCore(0).agentRegistry().agents().size() == 11U);
    deployment.simulation.killAgent(3, 1h);
    deployment.simulation.runFor(30s);
    BOOST_TEST(deployment.simulation.entryCore(0).agentRegistry().agents().size() == 11U);
    deployment.simulation.runFor(40s);
    BOOST_TEST(deployment.simulation.entryCore(0).agentRegistry().agents().size() == 10U);
}

BOOST_AUTO_TEST_CASE(TaskBehindCutLinkRunsElsewhereAfterFirstRunIsOver)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(1, 3000ms), 3000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.firstBusyAgent();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.cutLink(0, agent, 6s);
    deployment.simulation.runFor(9s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.startCount({ deployment.submission(position).job, 0, 0 }) == 2U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(LateUpstreamLeftNoticeKeepsRuns)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(1, 2000ms), 2000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.firstBusyAgent();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.deliverUpstreamLeft(agent);
    BOOST_TEST(!deployment.simulation.agentCore(agent).isOpen());
    deployment.simulation.runFor(6s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.startCount({ deployment.submission(position).job, 0, 0 }) == 1U);
    BOOST_TEST(deployment.simulation.agentCore(agent).isOpen()); // reopened by the next report of the upstream
    deployment.checkNoViolation();
}

// The notice may be a late one of an earlier incarnation, and an upstream that refuses connections may run on.
BOOST_AUTO_TEST_CASE(CrashedUpstreamWithLeftNoticeGivesUpRunsWhenTheirLeaseEnds)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(1, 900ms), 900ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.firstBusyAgent();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.crashUpstream(agent, 1h);
    deployment.simulation.deliverUpstreamLeft(agent);
    const DirectTaskId task{ deployment.submission(position).job, 0, 0 };
    deployment.simulation.runFor(700ms);
    BOOST_TEST(deployment.simulation.startCount(task) == 1U);
    deployment.simulation.runFor(150ms); // the lease of 800 ms ends after 836 ms at the latest
    BOOST_TEST(deployment.simulation.startCount(task) == 2U);
    deployment.simulation.runFor(1200ms);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(UpstreamThatLeftStaysClosedAfterAgentRestart)
{
    Deployment deployment;
    deployment.simulation.deliverUpstreamLeft(3);
    deployment.simulation.runFor(20ms);
    deployment.simulation.killAgent(3, 50ms);
    for (int step = 0; step < 30; ++step) {
        deployment.simulation.runFor(10ms);
        BOOST_TEST(!deployment.simulation.agentCore(3).isOpen());
    }
}

BOOST_AUTO_TEST_CASE(ResubmissionOfStartedJobIsNotAnsweredAsNotRun)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "hold", deployment.makeJob(2, 900ms), 900ms, 3s);
    deployment.simulation.runFor(200ms);
    deployment.simulation.disconnect(first);
    for (std::size_t agent = 0; agent < 11; ++agent) {
        deployment.simulation.drainUpstream(agent);
    }
    deployment.simulation.runFor(3s);
    const std::size_t second = deployment.simulation.resubmit(0, first, 3s);
    deployment.simulation.runFor(4s);
    BOOST_REQUIRE(deployment.submission(second).answeredAt.has_value());
    BOOST_TEST((deployment.submission(second).answer.verdict == DirectVerdict::TimedOut));
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamWithSameIdIsNewIncarnation)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(1, 1000ms), 1000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.firstBusyAgent();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.crashUpstream(agent, 300ms);
    deployment.simulation.runFor(4s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.agentCore(agent).isOpen());
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_SUITE_END()
