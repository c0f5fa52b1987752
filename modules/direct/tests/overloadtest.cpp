#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** One entry and one upstream without free capacity: ten tasks fill it for the given time, of which 100 ms have passed. */
struct FullUpstream : Deployment
{
    explicit FullUpstream(Duration taken)
        : Deployment(options())
    {
        simulation.submit(0, "hold", makeJob(10, taken), taken, 5s);
        simulation.runFor(100ms);
    }

    /** Submits a lookup of 60 ms with an objective of 156 ms, and returns the submission 1 s later. */
    const DirectSimulation::Submission &submitLookup()
    {
        const std::size_t position = simulation.submit(0, "lookup", makeJob(1, 60ms), 60ms, 3s);
        simulation.runFor(1s);
        return submission(position);
    }

    static DirectSimulation::Options options()
    {
        DirectSimulation::Options single;
        single.entries = 1;
        single.agents = 1;
        single.speeds = { 1.0 };
        single.hasLargeUpstreams = false;
        return single;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

// A short job arrives while every upstream is occupied for longer than the job's objective allows. It is served late rather
// than refused, because its client account still waits and no other job needs the capacity that becomes free.
BOOST_AUTO_TEST_CASE(LateJobIsServedWhileItsClientAccountWaits)
{
    for (const Duration taken : { 280ms, 900ms }) {
        FullUpstream upstream(taken);
        const DirectSimulation::Submission &submission = upstream.submitLookup();
        BOOST_REQUIRE(submission.answeredAt.has_value());
        BOOST_TEST((submission.answer.verdict == DirectVerdict::Completed), submission.answer.reason);
        BOOST_TEST((*submission.answeredAt - submission.submittedAt > submission.objective));
        BOOST_TEST((*submission.answeredAt - submission.submittedAt <= taken + 100ms));
    }
}

// More long jobs arrive at once than the upstream can end in their client accounts' time. The surplus is refused at once.
BOOST_AUTO_TEST_CASE(JobThatCannotEndInItsClientAccountsTimeIsRefusedAtOnce)
{
    FullUpstream upstream(280ms);
    std::vector<std::size_t> jobs;
    jobs.reserve(10);
    for (int job = 0; job < 10; ++job) {
        jobs.push_back(upstream.simulation.submit(0, "hold", upstream.makeJob(10, 900ms), 900ms, 3s));
    }
    upstream.simulation.runFor(4s);
    std::size_t refused = 0;
    for (const std::size_t job : jobs) {
        const DirectSimulation::Submission &submission = upstream.submission(job);
        if (submission.answer.verdict == DirectVerdict::NotRun) {
            ++refused;
            BOOST_TEST((*submission.answeredAt - submission.submittedAt <= 300ms));
        }
    }
    BOOST_TEST(refused >= 7U);
}

// Lookups that are late already wait beside a long job that has time to spare: they are served first, and it is still on time.
BOOST_AUTO_TEST_CASE(LateJobsAreServedFromTheTimeThatLessUrgentJobsCanSpare)
{
    FullUpstream upstream(400ms);
    const std::size_t waiting = upstream.simulation.submit(0, "hold", upstream.makeJob(2, 900ms), 900ms, 5s);
    std::vector<std::size_t> lookups;
    lookups.reserve(4);
    for (int job = 0; job < 4; ++job) {
        lookups.push_back(upstream.simulation.submit(0, "lookup", upstream.makeJob(5, 60ms), 60ms, 3s));
    }
    upstream.simulation.runFor(4s);
    for (const std::size_t lookup : lookups) {
        BOOST_TEST((upstream.submission(lookup).answer.verdict == DirectVerdict::Completed), upstream.submission(lookup).answer.reason);
    }
    const DirectSimulation::Submission &less = upstream.submission(waiting);
    BOOST_TEST((less.answer.verdict == DirectVerdict::Completed));
    BOOST_TEST((*less.answeredAt - less.submittedAt <= less.objective));
}

// In an overload, urgent jobs that are already late are refused. If they stayed queued, they would take the capacity of less
// urgent jobs that can still meet their objective.
BOOST_AUTO_TEST_CASE(LateJobDoesNotDelayLessUrgentJob)
{
    FullUpstream upstream(280ms);
    const std::size_t late = upstream.simulation.submit(0, "lookup", upstream.makeJob(10, 60ms), 60ms, 3s);
    const std::size_t waiting = upstream.simulation.submit(0, "hold", upstream.makeJob(10, 200ms), 200ms, 3s);
    upstream.simulation.runFor(1s);
    BOOST_TEST((upstream.submission(late).answer.verdict == DirectVerdict::NotRun));
    BOOST_TEST((upstream.submission(waiting).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST((*upstream.submission(waiting).answeredAt - upstream.submission(waiting).submittedAt <= 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
