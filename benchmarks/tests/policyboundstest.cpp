#include "centralqueue.h"
#include "policyrun.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace lagoonroute::bench;

namespace
{

constexpr std::size_t tasks = 200'000;
constexpr std::uint64_t lastSeed = 4;

RunResult runDefault(const Deployment &deployment, const Scenario &scenario, const std::vector<WorkItem> &items)
{
    return PolicyRun<LateBinding>(deployment, scenario, items, ServiceRules::Builder("bench").build()).run("default");
}

/** Calls check(deployment, items, result) for both deployments and the seeds from 1 to `seeds`. */
template <typename Check>
void forEachRun(const Scenario &scenario, std::uint64_t seeds, const Check &check)
{
    for (const Deployment &deployment : { ndimbal(), rackwise() }) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto items = drawWorkload(deployment, scenario, tasks, seed);
            BOOST_TEST_CONTEXT(deployment.name << ", load " << scenario.load << ", seed " << seed)
            {
                check(deployment, items, runDefault(deployment, scenario, items));
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(PolicyBoundsTest)

BOOST_AUTO_TEST_CASE(LowAndMediumLoadAddOnlyNetworkDelay)
{
    for (const double load : { 0.3, 0.6 }) {
        forEachRun({ .load = load }, 1, [](const Deployment &, const auto &, const RunResult &result) {
            BOOST_TEST(result.failedTasks + result.refusedJobs == 0U);
            BOOST_TEST(Percentiles::of(result.beyondHops).p999.count() <= 1000);
        });
    }
}

BOOST_AUTO_TEST_CASE(HighLoadStaysNearTheCentralQueue)
{
    forEachRun({ .load = 0.9 }, lastSeed, [](const Deployment &deployment, const auto &items, const RunResult &result) {
        const Percentiles ideal = Percentiles::of(runCentralQueue(deployment, items).added);
        const Percentiles added = Percentiles::of(result.added);
        BOOST_TEST(result.failedTasks + result.refusedJobs == 0U);
        BOOST_TEST(Percentiles::of(result.beyondHops).p50.count() == ideal.p50.count());
        BOOST_TEST(static_cast<double>(added.p99.count()) <= 1.05 * static_cast<double>(ideal.p99.count()));
        BOOST_TEST(static_cast<double>(added.p999.count()) <= 1.25 * static_cast<double>(ideal.p999.count()));
    });
}

BOOST_AUTO_TEST_CASE(WastedMessagesStayBelowOneInAHundredTasks)
{
    for (const double load : { 0.3, 0.6, 0.9 }) {
        forEachRun({ .load = load }, 1, [](const Deployment &, const auto &, const RunResult &result) { BOOST_TEST(result.wastedPerTask() <= 0.01); });
    }
    const Scenario refusing{ .load = 0.6, .refusingWorker = true };
    forEachRun(refusing, 1, [](const Deployment &, const auto &, const RunResult &result) {
        BOOST_TEST_MESSAGE(result.wastedMessages << " wasted messages for a worker that refuses");
        BOOST_TEST(result.wastedMessages > 0U);
        BOOST_TEST(result.wastedPerTask() <= 0.01);
    });
    forEachRun({ .load = 0.01 }, 1, [](const Deployment &, const auto &, const RunResult &result) { BOOST_TEST(result.wastedMessages == 0U); });
}

BOOST_AUTO_TEST_CASE(FloodDelaysOtherCallersWithinTwoTolerances)
{
    forEachRun({ .load = 0.6, .flood = true }, 1, [](const Deployment &deployment, const auto &items, const RunResult &result) {
        const Percentiles added = Percentiles::of(result.added);
        const Percentiles central = Percentiles::of(runCentralQueue(deployment, items).added);
        BOOST_TEST_MESSAGE("p99.9 " << added.p999.count() << " us, first come, first served " << central.p999.count() << " us");
        const Duration twoTolerances = 2 * FairQueue::Options{}.tolerance;
        BOOST_TEST(added.p999.count() <= twoTolerances.count());
        BOOST_TEST(central.p999.count() > twoTolerances.count());
    });
}

BOOST_AUTO_TEST_CASE(EjectionAndStragglerRulesReduceFailuresAndDelay)
{
    const EjectionRules neverEject = EjectionRules{}.withFailurePercentAboveFleet(100);
    const StragglerRules noStragglers = StragglerRules{}.withSlowdownPercent(10000);
    const ServiceRules unprotectedRules = ServiceRules::Builder("bench").withEjection(neverEject).withStraggler(noStragglers).build();
    const auto runWithout = [&unprotectedRules](const Deployment &deployment, const Scenario &scenario, const auto &items) {
        return PolicyRun<LateBinding>(deployment, scenario, items, unprotectedRules).run("without");
    };
    const Scenario failing{ .load = 0.6, .failingWorker = true };
    forEachRun(failing, 1, [&](const Deployment &deployment, const auto &items, const RunResult &result) {
        const RunResult unprotected = runWithout(deployment, failing, items);
        BOOST_TEST_MESSAGE(deployment.name << ": " << result.failedTasks << " failed tasks, " << unprotected.failedTasks << " without ejection");
        BOOST_TEST(10 * result.failedTasks <= unprotected.failedTasks);
        BOOST_TEST(result.wastedPerTask() <= 0.01);
    });
    const Scenario straggling{ .load = 0.6, .slowdown = 4 };
    forEachRun(straggling, 1, [&](const Deployment &deployment, const auto &items, const RunResult &result) {
        const Percentiles with = Percentiles::of(result.beyondHops);
        const Percentiles unprotected = Percentiles::of(runWithout(deployment, straggling, items).beyondHops);
        BOOST_TEST_MESSAGE(deployment.name << ": p99 " << with.p99.count() << " us, " << unprotected.p99.count() << " us without straggler rules");
        BOOST_TEST(with.p99.count() <= 1000);
        BOOST_TEST(unprotected.p99.count() > 1000);
    });
}

BOOST_AUTO_TEST_SUITE_END()
