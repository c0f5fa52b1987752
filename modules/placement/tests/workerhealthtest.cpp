#include <lagoonroute/placement/workerhealth.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Duration usual = 100ms;

/** Fleet of workers 1 to `size`, each with a history of successes. */
class Fleet
{
public:
    explicit Fleet(std::uint64_t size)
        : health(EjectionRules{}, StragglerRules{})
    {
        for (std::uint64_t worker = 1; worker <= size; ++worker) {
            health.add(NodeId{ worker }, 1);
            report(worker, AttemptResult::Succeeded, 20);
        }
    }

    void report(std::uint64_t worker, AttemptResult result, int times = 1, Duration runTime = usual)
    {
        for (int time = 0; time < times; ++time) {
            now += 1ms;
            health.record(NodeId{ worker }, result, runTime, usual, now);
        }
    }

    [[nodiscard]] std::uint32_t allowance(std::uint64_t worker) const
    {
        return health.placementLimits(NodeId{ worker }, now).allowance;
    }

    WorkerHealth health;
    Instant now{ 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerHealthTest)

BOOST_AUTO_TEST_CASE(FailingWorkerIsEjectedProbedAndReadmittedGradually)
{
    Fleet fleet(5);
    fleet.report(1, AttemptResult::FailedAtWorker, 30);
    BOOST_TEST(fleet.health.isEjected(NodeId{ 1 }));
    BOOST_TEST(fleet.allowance(1) == 0U);
    fleet.now += 1s;
    BOOST_TEST(fleet.allowance(1) == 1U);
    fleet.report(1, AttemptResult::FailedAtWorker);
    fleet.now += 1500ms; // the ejection time has doubled
    BOOST_TEST(fleet.allowance(1) == 0U);
    fleet.now += 1s;
    for (int probe = 0; probe < 3; ++probe) {
        BOOST_TEST(fleet.allowance(1) == 1U);
        fleet.report(1, AttemptResult::Succeeded);
        fleet.now += probe < 2 ? 1s : 0s;
    }
    BOOST_TEST(fleet.allowance(1) == 2U);
    fleet.report(1, AttemptResult::Succeeded);
    BOOST_TEST(fleet.allowance(1) == 3U);
    fleet.report(1, AttemptResult::Succeeded, 20);
    BOOST_TEST(fleet.allowance(1) > 1000U);
}

BOOST_AUTO_TEST_CASE(EjectedShareIsLimited)
{
    Fleet fleet(10);
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
        fleet.report(worker, AttemptResult::FailedAtWorker, 60);
    }
    int ejected = 0;
    for (std::uint64_t worker = 1; worker <= 10; ++worker) {
        ejected += fleet.health.isEjected(NodeId{ worker }) ? 1 : 0;
    }
    BOOST_TEST(ejected <= 3);

    Fleet alone(1);
    alone.report(1, AttemptResult::FailedAtWorker, 60);
    BOOST_TEST(!alone.health.isEjected(NodeId{ 1 }));
}

BOOST_AUTO_TEST_CASE(FailuresOfWholeFleetEjectNoWorker)
{
    Fleet fleet(5);
    for (int round = 0; round < 60; ++round) {
        for (std::uint64_t worker = 1; worker <= 5; ++worker) {
            fleet.report(worker, AttemptResult::FailedAtWorker);
            BOOST_TEST(!fleet.health.isEjected(NodeId{ worker }));
        }
    }
}

BOOST_AUTO_TEST_CASE(WorkerFailingBeforeOthersCompleteTasksIsEjected)
{
    WorkerHealth health{ EjectionRules{}, StragglerRules{} };
    for (std::uint64_t worker = 1; worker <= 4; ++worker) {
        health.add(NodeId{ worker }, 1);
    }
    Instant now{ 100s };
    std::uint32_t failures = 0;
    while (!health.isEjected(NodeId{ 1 }) && failures < 128) {
        now += 1ms;
        health.record(NodeId{ 1 }, AttemptResult::FailedAtWorker, usual, usual, now);
        ++failures;
    }
    BOOST_TEST(failures <= 2 * EjectionRules{}.minimumSamples);
    // The only worker of a service is never ejected.
    WorkerHealth alone{ EjectionRules{}, StragglerRules{} };
    alone.add(NodeId{ 1 }, 1);
    for (int time = 0; time < 50; ++time) {
        alone.record(NodeId{ 1 }, AttemptResult::FailedAtWorker, usual, usual, now);
    }
    BOOST_TEST(!alone.isEjected(NodeId{ 1 }));
}

BOOST_AUTO_TEST_CASE(StragglerIsDetectedAndRecheckedLater)
{
    Fleet fleet(5);
    for (int round = 0; round < 20; ++round) {
        fleet.report(1, AttemptResult::Succeeded, 1, 5 * usual);
        fleet.now += 100ms;
        fleet.report(2, AttemptResult::Succeeded);
    }
    BOOST_TEST(fleet.health.isStraggling(NodeId{ 1 }));
    BOOST_TEST(!fleet.health.isStraggling(NodeId{ 2 }));
    BOOST_TEST(fleet.health.placementLimits(NodeId{ 1 }, fleet.now).slowdown > 3);
    fleet.now += 11s;
    BOOST_TEST(fleet.allowance(1) == 1U);
    BOOST_TEST(fleet.health.placementLimits(NodeId{ 1 }, fleet.now).slowdown == 1);
}

BOOST_AUTO_TEST_SUITE_END()
