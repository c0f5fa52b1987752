#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;
using CutKind = DirectSimulation::CutKind;

namespace
{

/** Longest time after the last order with a lease end until the runs under that lease are over, on the slowest clock of an upstream. */
constexpr Duration leaseTime = 816ms;

/** A deployment with one running task. */
struct SingleRun : Deployment
{
    explicit SingleRun(Duration work)
        : position(simulation.submit(0, "hold", makeJob(1, work), work, 9s))
    {
        simulation.runFor(100ms);
        agent = firstBusyAgent();
        BOOST_REQUIRE(agent < 11);
    }

    [[nodiscard]] std::size_t starts()
    {
        return simulation.startCount({ submission(position).job, 0, 0 });
    }

    std::size_t position;
    std::size_t agent = 0;
};

} // namespace

/** A run is reported as over only when it is: by the upstream's list, by a new incarnation, or by the end of its lease. */
BOOST_AUTO_TEST_SUITE(RunEndTest)

// Guards against two runs of one task at once: an upstream that refuses connections runs on until its lease ends.
BOOST_AUTO_TEST_CASE(RefusedConnectionsEndNoRun)
{
    SingleRun run(2000ms);
    run.simulation.cutUpstream(run.agent, CutKind::Refused, 5500ms);
    run.simulation.runFor(leaseTime - 100ms);
    BOOST_TEST(run.starts() == 1U);
    run.simulation.runFor(5s);
    BOOST_TEST(run.starts() == 2U);
    BOOST_TEST((run.submission(run.position).answer.verdict == DirectVerdict::Completed));
    run.checkNoViolation();
}

// The run of an upstream that is back before its lease ends goes on, and is not repeated.
BOOST_AUTO_TEST_CASE(RunGoesOnAfterShortCut)
{
    for (const CutKind kind : { CutKind::Silent, CutKind::Refused }) {
        for (const Duration length : { 5ms, 60ms, 300ms, 500ms }) {
            SingleRun run(2000ms);
            run.simulation.cutUpstream(run.agent, kind, length);
            run.simulation.runFor(3500ms);
            BOOST_TEST(run.starts() == 1U, "a cut of " << length.count() << " us");
            BOOST_TEST((run.submission(run.position).answer.verdict == DirectVerdict::Completed));
            run.checkNoViolation();
        }
    }
}

// A renewal that cannot reach the upstream must not postpone the end of the lease: the task would never run again.
BOOST_AUTO_TEST_CASE(TaskOfUnreachableUpstreamRunsElsewhereAfterItsLease)
{
    for (const CutKind kind : { CutKind::Silent, CutKind::Refused }) {
        SingleRun run(2000ms);
        run.simulation.cutUpstream(run.agent, kind, 1h);
        // Renewals may have been sent until three queries in a row had failed.
        run.simulation.runFor(leaseTime + 3 * UpstreamCore::Options().statusQueryTimeout(OrderStatusQuery{ .wait = 50ms }) + 100ms);
        BOOST_TEST(run.starts() == 2U);
        run.simulation.runFor(3s);
        BOOST_TEST((run.submission(run.position).answer.verdict == DirectVerdict::Completed));
        run.checkNoViolation();
    }
}

// An order that is sent before the connection breaks may have started its run although nothing answers any more.
BOOST_AUTO_TEST_CASE(StartWithBrokenConnectionIsNotRepeatedBeforeItsLeaseEnds)
{
    for (const Duration cutAfter : { 1000us, 1050us, 1100us, 1150us, 1200us, 1300us }) {
        Deployment deployment;
        const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(8, 900ms), 900ms, 9s);
        deployment.simulation.runFor(cutAfter);
        for (std::size_t agent = 0; agent < 11; agent += 2) {
            deployment.simulation.cutUpstream(agent, CutKind::Refused, 3s);
        }
        deployment.simulation.runFor(9s);
        BOOST_TEST(deployment.submission(position).answeredAt.has_value());
        deployment.checkNoViolation();
    }
}

// A new incarnation of the agent finds its upstream refusing connections while a run of the earlier one goes on there.
BOOST_AUTO_TEST_CASE(RestartedAgentBesideRefusingUpstreamClearsNoEntryBeforeEarlierLeaseEnds)
{
    for (const Duration killAfter : { 0ms, 100ms, 400ms, 700ms }) {
        SingleRun run(3000ms);
        run.simulation.cutUpstream(run.agent, CutKind::Refused, 4s);
        run.simulation.runFor(killAfter);
        run.simulation.killAgent(run.agent, 50ms);
        run.simulation.runFor(8s);
        BOOST_TEST((run.submission(run.position).answer.verdict == DirectVerdict::Completed));
        run.checkNoViolation();
    }
}

BOOST_AUTO_TEST_CASE(TasksRunOnceAtATimeUnderRandomCuts)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        DirectSimulation::Options options;
        options.seed = seed;
        Deployment deployment(options);
        Workload workload(deployment.simulation, bookingKinds(), 3, seed);
        workload.setLoad(0.5);
        std::mt19937_64 random(seed);
        for (int round = 0; round < 40; ++round) {
            const auto length = std::chrono::milliseconds(1 + (random() % (random() % 2 == 0 ? 300 : 2500)));
            deployment.simulation.cutUpstream(random() % 11, random() % 2 == 0 ? CutKind::Silent : CutKind::Refused, length);
            if (random() % 8 == 0) {
                deployment.simulation.killAgent(random() % 11, 50ms);
            }
            workload.run(100ms);
        }
        deployment.simulation.runFor(10s);
        for (const std::string &violation : deployment.simulation.violations()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
        BOOST_TEST(resultOf(deployment.simulation).unanswered == 0U, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
