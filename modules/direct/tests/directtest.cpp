#include "directsimulation.h"
#include "workload.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** A deployment whose agents have greeted, with jobs of one kind at hand. */
struct Deployment
{
    explicit Deployment(const DirectSimulation::Options &options = {})
        : simulation(options)
    {
        simulation.setRoutes(routesOf(bookingKinds()));
        simulation.runFor(4s);
    }

    DirectJob job(std::uint32_t tasks, Duration estimate)
    {
        DirectJob made;
        made.id = "single-" + std::to_string(++number);
        DirectStep step;
        step.count = tasks;
        step.need = Resources{ 6200, 64, 0 };
        step.estimate = estimate;
        made.steps.push_back(step);
        return made;
    }

    const DirectSimulation::Submission &submission(std::size_t position)
    {
        return simulation.submissions()[position];
    }

    /** Where the only task of the last job runs. */
    std::size_t agentRunning()
    {
        for (std::size_t agent = 0; agent < 11; ++agent) {
            if (simulation.agentCore(agent).runs() > 0) {
                return agent;
            }
        }
        return 11;
    }

    void checkNoViolation()
    {
        for (const std::string &violation : simulation.violations()) {
            BOOST_ERROR(violation);
        }
    }

    DirectSimulation simulation;
    std::uint64_t number = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DirectTest)

BOOST_AUTO_TEST_CASE(ACalmDayServesEveryJobWithinItsObjective)
{
    Deployment deployment;
    Workload workload(deployment.simulation, bookingKinds(), 3, 7);
    workload.setLoad(0.66);
    workload.run(10s);
    deployment.simulation.runFor(5s);
    const WorkloadResult result = resultOf(deployment.simulation);
    BOOST_TEST(result.submitted > 500U);
    BOOST_TEST(result.open == 0U);
    BOOST_TEST(result.notRun == 0U);
    BOOST_TEST(result.failed == 0U);
    BOOST_TEST(result.share() >= 0.99);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AJobIsAnsweredOnceAndAResubmissionGetsTheSameAnswer)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "reprice", deployment.job(2, 200ms), 200ms, 3s);
    deployment.simulation.runFor(50ms);
    const std::size_t second = deployment.simulation.submitAgain(0, first, 3s, false);
    deployment.simulation.runFor(1s);
    const std::size_t third = deployment.simulation.submitAgain(0, first, 3s, false);
    deployment.simulation.runFor(1s);
    for (const std::size_t position : { first, second, third }) {
        BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    }
    BOOST_TEST(deployment.simulation.starts({ deployment.submission(first).job, 0, 0 }) == 1U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(StepsWaitForThoseBeforeThem)
{
    Deployment deployment;
    DirectJob job = deployment.job(3, 100ms);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = { 0 };
    const std::size_t position = deployment.simulation.submit(0, "reprice", job, 100ms, 3s);
    deployment.simulation.runFor(60ms);
    BOOST_TEST(deployment.simulation.starts({ job.id, 0, 0 }) == 1U);
    BOOST_TEST(deployment.simulation.starts({ job.id, 1, 0 }) == 0U);
    deployment.simulation.runFor(1s);
    BOOST_TEST(deployment.simulation.starts({ job.id, 1, 0 }) == 1U);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
}

BOOST_AUTO_TEST_CASE(WhatCannotRunIsRefusedAtOnceAndNeverStarts)
{
    Deployment deployment;
    DirectJob tooLarge = deployment.job(1, 100ms);
    tooLarge.steps.front().need.cpuMillis = 200'000;
    DirectJob kept = deployment.job(1, 100ms);
    kept.unsupported = { "a job that must be kept" };
    for (const DirectJob &job : { tooLarge, kept }) {
        const std::size_t position = deployment.simulation.submit(0, "reprice", job, 100ms, 3s);
        BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::NotRun));
    }
    deployment.simulation.runFor(1s);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AJobWhoseTasksAlwaysFailFailsAfterItsAttempts)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "lookup", deployment.job(1, 60ms), 60ms, 3s, true);
    deployment.simulation.runFor(2s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Failed));
    BOOST_TEST(deployment.simulation.starts({ deployment.submission(position).job, 0, 0 }) == 3U);
}

BOOST_AUTO_TEST_CASE(WorkForAClientAccountThatLeftIsStopped)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(4, 900ms), 900ms, 3s);
    deployment.simulation.runFor(50ms);
    deployment.simulation.leave(position);
    deployment.simulation.runFor(200ms);
    BOOST_TEST(deployment.agentRunning() == 11U);
    BOOST_TEST(deployment.simulation.entryCore(0).openJobs() == 0U);
}

BOOST_AUTO_TEST_CASE(TheRunsOfAKilledEntryAreStoppedBeforeAResubmissionStartsThem)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "hold", deployment.job(4, 3000ms), 3000ms, 5s);
    deployment.simulation.runFor(100ms);
    deployment.simulation.killEntry(0, 2s);
    deployment.simulation.runFor(1300ms);
    const std::size_t second = deployment.simulation.submitAgain(1, first, 5s);
    deployment.simulation.runFor(5s);
    BOOST_TEST((deployment.submission(second).answer.verdict == DirectVerdict::Completed));
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(TheRunsOfAFrozenEntryAreStoppedBeforeAResubmissionStartsThem)
{
    Deployment deployment;
    const std::size_t first = deployment.simulation.submit(0, "hold", deployment.job(4, 3000ms), 3000ms, 9s);
    deployment.simulation.runFor(100ms);
    deployment.simulation.freezeEntry(0, 4s);
    deployment.simulation.runFor(1300ms);
    const std::size_t second = deployment.simulation.submitAgain(1, first, 5s);
    deployment.simulation.runFor(8s);
    BOOST_TEST((deployment.submission(second).answer.verdict == DirectVerdict::Completed));
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AFrozenAgentStartsNothingOfWhatWaitedForIt)
{
    Deployment deployment;
    std::vector<std::size_t> positions;
    for (std::size_t count = 0; count < 30; ++count) {
        positions.push_back(deployment.simulation.submit(count % 3, "hold", deployment.job(3, 900ms), 900ms, 9s));
    }
    deployment.simulation.freezeAgent(0, 4s);
    deployment.simulation.freezeAgent(1, 4s);
    deployment.simulation.runFor(12s);
    for (const std::size_t position : positions) {
        BOOST_TEST(deployment.submission(position).answeredAt.has_value());
    }
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AKilledAgentIsReplacedAndItsTasksRunAgain)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(1, 2000ms), 2000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.killAgent(agent, 200ms);
    deployment.simulation.runFor(8s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.starts({ deployment.submission(position).job, 0, 0 }) == 2U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(ARestartedAgentServesBeforeItsUpstreamReportsAgain)
{
    Deployment deployment;
    for (std::size_t agent = 0; agent < 11; ++agent) {
        deployment.simulation.killAgent(agent, 100ms);
    }
    deployment.simulation.runFor(300ms);
    for (std::size_t agent = 0; agent < 11; ++agent) {
        BOOST_TEST(deployment.simulation.agentCore(agent).isOpen(), "agent " << agent);
    }
    // A report of an earlier life of the upstream does not hold.
    deployment.simulation.killAgent(3, 100ms);
    deployment.simulation.crashUpstream(3, 50ms);
    deployment.simulation.runFor(3s);
    BOOST_TEST(deployment.simulation.agentCore(3).isOpen());
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AnAgentThatIsGoneForGoodIsForgotten)
{
    Deployment deployment;
    BOOST_TEST(deployment.simulation.entryCore(0).board().agents().size() == 11U);
    deployment.simulation.killAgent(3, 1h);
    deployment.simulation.runFor(30s);
    BOOST_TEST(deployment.simulation.entryCore(0).board().agents().size() == 11U);
    deployment.simulation.runFor(40s);
    BOOST_TEST(deployment.simulation.entryCore(0).board().agents().size() == 10U);
}

BOOST_AUTO_TEST_CASE(ACutLinkLeadsToARunElsewhereOnlyWhenTheFirstIsOver)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(1, 3000ms), 3000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.cutLink(0, agent, 6s);
    deployment.simulation.runFor(9s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.starts({ deployment.submission(position).job, 0, 0 }) == 2U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AnUpstreamRebornUnderItsIdIsMetAsANewLife)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(1, 1000ms), 1000ms, 9s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.crashUpstream(agent, 300ms);
    deployment.simulation.runFor(4s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.agentCore(agent).isOpen());
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(ARunThatStandsStillIsTakenElsewhere)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "reprice", deployment.job(1, 200ms), 200ms, 3s);
    deployment.simulation.runFor(20ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.slowUpstream(agent, 0, 6s);
    deployment.simulation.runFor(1500ms);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.notes("run-moved") == 1U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(ATaskThatTakesMuchLongerThanDeclaredIsLeftAlone)
{
    Deployment deployment;
    // Declared as a sixth of what it needs, on sound upstreams.
    const std::size_t position = deployment.simulation.submit(0, "lookup", deployment.job(8, 40ms), 240ms, 3s);
    deployment.simulation.runFor(2s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    for (std::uint32_t index = 0; index < 8; ++index) {
        BOOST_TEST(deployment.simulation.starts({ deployment.submission(position).job, 0, index }) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(AloneATaskIsNotBlamedOnItsUpstream)
{
    Deployment deployment;
    // One task, declared as a tenth of what it needs: nothing tells the task from the upstream.
    const std::size_t position = deployment.simulation.submit(0, "reprice", deployment.job(1, 60ms), 600ms, 3s);
    deployment.simulation.runFor(2s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.notes("run-moved") == 0U);
}

BOOST_AUTO_TEST_CASE(TasksOnASlowUpstreamAreTakenElsewhere)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(4, 900ms), 900ms, 9s);
    deployment.simulation.runFor(20ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    deployment.simulation.slowUpstream(agent, 8, 6s);
    deployment.simulation.runFor(2500ms);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.notes("run-moved") >= 1U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(AListThatWasOvertakenNamesNoStrayRun)
{
    UpstreamCore core(UpstreamCore::Options().withNode("agent", "plateau", 1));
    UpstreamActions actions;
    Instant now(100s);
    const auto lookUnderWay = [&](bool isWaiting) {
        std::uint64_t number = 0;
        for (const UpstreamAction &action : actions) {
            const auto *look = std::get_if<OrderLook>(&action);
            if (look != nullptr && (look->wait > 0ms) == isWaiting) {
                number = look->look;
            }
        }
        return number;
    };
    core.openLink(1, now, actions);
    core.receive(1, EntryHello{ "entry", "10.0.0.1:1" }, now, actions);
    for (int step = 0; step < 3; ++step) {
        core.handle(
            LookAnswered{ .look = lookUnderWay(false), .result = OrderResult::Accepted, .clock = 1000, .born = 5, .running = {}, .ended = {} }, now, actions);
    }
    core.handle(
        UpstreamReport{ .id = "u", .born = 5, .sequence = 1, .service = "s", .zone = "z", .capacity = { 1000, 10, 0 }, .labels = {}, .isDraining = false },
        now,
        actions);
    BOOST_REQUIRE(core.isOpen());
    const DirectTaskId task{ "job", 0, 0 };
    core.receive(1, StartTasks{ "job", "", { TaskStart{ 0, 0, 1, { 500, 1, 0 }, "" } } }, now, actions);
    core.handle(StartAnswered{ task, 1, OrderResult::Accepted }, now, actions);
    const std::uint64_t waiting = lookUnderWay(true);
    now += 450ms; // by then the lease is to be renewed
    actions.clear();
    core.elapse(now, actions);
    const std::uint64_t renewing = lookUnderWay(false);
    BOOST_REQUIRE(renewing > waiting);
    core.handle(
        LookAnswered{
            .look = renewing, .result = OrderResult::Accepted, .clock = 1450, .born = 5, .running = {}, .ended = { { 1, task, 1, RunEnd::Done, "" } } },
        now,
        actions);
    BOOST_TEST(core.runs() == 0U);
    actions.clear();
    core.handle(LookAnswered{ .look = waiting, .result = OrderResult::Accepted, .clock = 1440, .born = 5, .running = { { task, 1, "", 99 } }, .ended = {} },
                now,
                actions);
    BOOST_TEST(std::none_of(actions.begin(), actions.end(), [](const UpstreamAction &action) { return std::holds_alternative<OrderStop>(action); }));
    BOOST_TEST((core.freeRoom() == Resources{ 1000, 10, 0 }));
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamGetsNothingMore)
{
    Deployment deployment;
    Workload workload(deployment.simulation, bookingKinds(), 3, 3);
    workload.setLoad(0.5);
    workload.run(2s);
    deployment.simulation.drainUpstream(4);
    workload.run(2s);
    BOOST_TEST(!deployment.simulation.agentCore(4).isOpen());
    workload.run(4s);
    BOOST_TEST(deployment.simulation.agentCore(4).runs() == 0U);
    BOOST_TEST(resultOf(deployment.simulation).failed == 0U);
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(APlannedStopOfAnAgentFinishesWhatRuns)
{
    Deployment deployment;
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.job(1, 900ms), 900ms, 3s);
    deployment.simulation.runFor(100ms);
    const std::size_t agent = deployment.agentRunning();
    BOOST_REQUIRE(agent < 11);
    UpstreamActions actions;
    deployment.simulation.agentCore(agent).beginStop(deployment.simulation.now(), actions);
    deployment.simulation.runFor(2s);
    BOOST_TEST(deployment.simulation.agentCore(agent).runs() == 0U);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST(deployment.simulation.starts({ deployment.submission(position).job, 0, 0 }) == 1U);
}

BOOST_AUTO_TEST_CASE(OrdersWithoutAnAnswerNeverRunTwice)
{
    for (const bool isLate : { false, true }) {
        Deployment deployment;
        Workload workload(deployment.simulation, bookingKinds(), 3, 5);
        workload.setLoad(0.5);
        deployment.simulation.loseOrders(0.06, isLate, 6s);
        workload.run(6s);
        deployment.simulation.runFor(15s);
        const WorkloadResult result = resultOf(deployment.simulation);
        BOOST_TEST(result.open == 0U);
        BOOST_TEST(result.share() >= 0.7);
        deployment.checkNoViolation();
    }
}

BOOST_AUTO_TEST_CASE(AStartWithoutAnAnswerIsReplacedWithinMoments)
{
    Deployment deployment;
    deployment.simulation.loseOrders(1, true, 5ms);
    const std::size_t position = deployment.simulation.submit(0, "reprice", deployment.job(2, 200ms), 200ms, 3s);
    deployment.simulation.runFor(2s);
    const DirectSimulation::Submission &submission = deployment.submission(position);
    BOOST_TEST((submission.answer.verdict == DirectVerdict::Completed));
    // The objective is 380 ms on a sound upstream; the slowest one takes 250 ms.
    BOOST_TEST((*submission.answeredAt - submission.at <= submission.objective));
    deployment.simulation.runFor(12s);
    deployment.checkNoViolation();
}

// Pattern: one order in eighteen has no answer. While the answer to a waiting look was lost, ends went unnoticed for 50 ms
// and more, room that was free counted as taken, and short jobs were late.
BOOST_AUTO_TEST_CASE(AnEndIsNoticedSoonAlsoWhenTheAnswerToALookIsLost)
{
    DirectSimulation::Options options;
    options.entries = 1;
    options.agents = 1;
    Deployment deployment(options);
    // The only upstream has a speed of 0.8. The look that follows the end after 75 ms is lost; the other run ends after 185 ms.
    deployment.simulation.submit(0, "reprice", deployment.job(1, 60ms), 60ms, 3s);
    const std::size_t position = deployment.simulation.submit(0, "reprice", deployment.job(1, 148ms), 148ms, 3s);
    deployment.simulation.runFor(72ms);
    deployment.simulation.loseOrders(1, true, 12ms);
    deployment.simulation.runFor(2s);
    const DirectSimulation::Submission &submission = deployment.submission(position);
    BOOST_REQUIRE(submission.answeredAt.has_value());
    const Duration hops = 4 * options.hop;
    const Duration longest = 185ms + hops + UpstreamCore::Options().lookTimeout(OrderLook{ .wait = 50ms });
    BOOST_TEST((*submission.answeredAt - submission.at).count() <= longest.count());
}

BOOST_AUTO_TEST_CASE(AFailingUpstreamIsLeftAloneAndPoisonDoesNotBlameSoundOnes)
{
    Deployment deployment;
    Workload workload(deployment.simulation, bookingKinds(), 3, 11);
    workload.setLoad(0.5);
    workload.run(2s);
    deployment.simulation.failUpstream(2, 6s);
    workload.setPoison(0.05);
    workload.run(6s);
    deployment.simulation.runFor(4s);
    const WorkloadResult result = resultOf(deployment.simulation);
    BOOST_TEST(result.open == 0U);
    // One job in twenty cannot be done; the others bear one failing upstream of eleven.
    BOOST_TEST(static_cast<double>(result.failed) < 0.09 * static_cast<double>(result.submitted));
    BOOST_TEST(result.notRun == 0U);
    deployment.checkNoViolation();
}

/** All faults together by seed: whatever happens, the promises hold and every open request is answered. */
BOOST_AUTO_TEST_CASE(ThePromisesHoldUnderEveryFaultAtOnce)
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        DirectSimulation::Options options;
        options.seed = seed;
        Deployment deployment(options);
        Workload workload(deployment.simulation, bookingKinds(), 3, seed);
        std::mt19937_64 random(seed);
        workload.setLoad(0.6 + (static_cast<double>(random() % 60) / 100));
        std::vector<std::size_t> broken; // submissions whose connection broke in the round before
        for (int round = 0; round < 8; ++round) {
            const std::size_t agent = random() % 11;
            const std::size_t entry = random() % 3;
            const Duration duration = 500ms + std::chrono::milliseconds(random() % 4000);
            switch (random() % 9) {
            case 0:
                deployment.simulation.killEntry(entry, duration / 4);
                break;
            case 1:
                deployment.simulation.killAgent(agent, duration / 4);
                break;
            case 2:
                deployment.simulation.freezeEntry(entry, duration);
                break;
            case 3:
                deployment.simulation.freezeAgent(agent, duration);
                break;
            case 4:
                deployment.simulation.cutLink(entry, agent, duration);
                break;
            case 5:
                deployment.simulation.crashUpstream(agent, duration);
                break;
            case 6:
                deployment.simulation.slowUpstream(agent, random() % 2 == 0 ? 0 : 8, duration);
                break;
            case 7:
                deployment.simulation.failUpstream(agent, duration);
                break;
            default:
                deployment.simulation.loseOrders(0.1, random() % 2 == 0, duration);
                break;
            }
            // A client account whose request has no answer sends it again elsewhere, 1.3 s after its connection broke.
            const std::size_t before = deployment.simulation.submissions().size();
            workload.run(1300ms);
            for (const std::size_t position : std::exchange(broken, {})) {
                deployment.simulation.submitAgain((deployment.submission(position).entry + 1) % 3, position, 2s, false);
            }
            if (before > 0) {
                for (int again = 0; again < 5; ++again) {
                    const std::size_t position = random() % before;
                    if (!deployment.submission(position).answeredAt && deployment.simulation.now() - deployment.submission(position).at > 1300ms) {
                        deployment.simulation.leave(position);
                        broken.push_back(position);
                    }
                }
            }
        }
        deployment.simulation.runFor(20s);
        for (const std::string &violation : deployment.simulation.violations()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
        for (std::size_t entry = 0; entry < 3; ++entry) {
            BOOST_TEST(deployment.simulation.entryCore(entry).openJobs() == 0U, "seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
