#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(OverloadTest)

// Pattern: a short job that comes while every upstream is taken for moments longer than its objective allows. Its client
// account still waits, and nothing else wants the room that is free soon.
BOOST_AUTO_TEST_CASE(AJobThatEndsWithinTwoObjectivesIsServedLate)
{
    DirectSimulation::Options options;
    options.entries = 1;
    options.agents = 1;
    options.speeds = { 1.0 };
    options.hasLargeUpstreams = false;
    Deployment deployment(options);
    deployment.simulation.submit(0, "hold", deployment.job(10, 300ms), 300ms, 3s);
    deployment.simulation.runFor(120ms);
    const std::size_t position = deployment.simulation.submit(0, "lookup", deployment.job(1, 60ms), 60ms, 3s);
    deployment.simulation.runFor(1s);
    const DirectSimulation::Submission &submission = deployment.submission(position);
    BOOST_REQUIRE(submission.answeredAt.has_value());
    BOOST_TEST((submission.answer.verdict == DirectVerdict::Completed), submission.answer.reason);
    BOOST_TEST((*submission.answeredAt - submission.at > submission.objective));
    BOOST_TEST((*submission.answeredAt - submission.at <= 2 * submission.objective));
}

BOOST_AUTO_TEST_CASE(AJobThatCannotEndWithinTwoObjectivesIsRefusedEarly)
{
    DirectSimulation::Options options;
    options.entries = 1;
    options.agents = 1;
    options.speeds = { 1.0 };
    options.hasLargeUpstreams = false;
    Deployment deployment(options);
    deployment.simulation.submit(0, "hold", deployment.job(10, 2000ms), 2000ms, 5s);
    deployment.simulation.runFor(100ms);
    const std::size_t position = deployment.simulation.submit(0, "lookup", deployment.job(1, 60ms), 60ms, 3s);
    deployment.simulation.runFor(1s);
    const DirectSimulation::Submission &submission = deployment.submission(position);
    BOOST_REQUIRE(submission.answeredAt.has_value());
    BOOST_TEST((submission.answer.verdict == DirectVerdict::NotRun));
    BOOST_TEST((*submission.answeredAt - submission.at <= 2 * submission.objective));
}

BOOST_AUTO_TEST_SUITE_END()
