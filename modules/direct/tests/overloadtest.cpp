#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** One entry and one upstream without room: its ten places are taken for the given time, of which 100 ms have passed. */
struct FullUpstream : Deployment
{
    explicit FullUpstream(Duration taken)
        : Deployment(options())
    {
        simulation.submit(0, "hold", job(10, taken), taken, 5s);
        simulation.runFor(100ms);
    }

    /** Submits a lookup of 60 ms, with an objective of 156 ms, and returns what became of it. */
    const DirectSimulation::Submission &lookUp()
    {
        const std::size_t position = simulation.submit(0, "lookup", job(1, 60ms), 60ms, 3s);
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

// Pattern: a short job that comes while every upstream is taken for moments longer than its objective allows. Its client
// account still waits, and nothing else wants the room that is free soon.
BOOST_AUTO_TEST_CASE(AJobThatEndsWithinTwoObjectivesIsServedLate)
{
    FullUpstream upstream(280ms);
    const DirectSimulation::Submission &submission = upstream.lookUp();
    BOOST_REQUIRE(submission.answeredAt.has_value());
    BOOST_TEST((submission.answer.verdict == DirectVerdict::Completed), submission.answer.reason);
    BOOST_TEST((*submission.answeredAt - submission.at > submission.objective));
    BOOST_TEST((*submission.answeredAt - submission.at <= 2 * submission.objective));
}

BOOST_AUTO_TEST_CASE(AJobThatCannotEndWithinTwoObjectivesIsRefusedEarly)
{
    FullUpstream upstream(2000ms);
    const DirectSimulation::Submission &submission = upstream.lookUp();
    BOOST_REQUIRE(submission.answeredAt.has_value());
    BOOST_TEST((submission.answer.verdict == DirectVerdict::NotRun));
    BOOST_TEST((*submission.answeredAt - submission.at <= 2 * submission.objective));
}

// Pattern: an overload in which urgent jobs are late already. Kept, they would take the room of less urgent ones that can be on time.
BOOST_AUTO_TEST_CASE(ALateJobHoldsUpNoLessUrgentOne)
{
    FullUpstream upstream(280ms);
    const std::size_t late = upstream.simulation.submit(0, "lookup", upstream.job(10, 60ms), 60ms, 3s);
    const std::size_t waiting = upstream.simulation.submit(0, "hold", upstream.job(10, 200ms), 200ms, 3s);
    upstream.simulation.runFor(1s);
    BOOST_TEST((upstream.submission(late).answer.verdict == DirectVerdict::NotRun));
    BOOST_TEST((upstream.submission(waiting).answer.verdict == DirectVerdict::Completed));
    BOOST_TEST((*upstream.submission(waiting).answeredAt - upstream.submission(waiting).at <= 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
