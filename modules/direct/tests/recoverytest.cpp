#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RecoveryTest)

// Pattern: all hosts lose power, and the upstreams report again one after the other. While a few of them were known, an entry
// took their rate for that of the service, and refused jobs for a wait that the next upstreams made short.
BOOST_AUTO_TEST_CASE(JobsWaitForTheUpstreamsThatComeBackAfterALossOfPower)
{
    Deployment deployment;
    DirectSimulation &simulation = deployment.simulation;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        simulation.killEntry(entry, 1200ms);
    }
    for (std::size_t agent = 0; agent < 11; ++agent) {
        simulation.killAgent(agent, 1200ms);
        simulation.crashUpstream(agent, 1250ms + (agent * 50ms));
    }
    simulation.runFor(1210ms);
    const std::size_t before = simulation.submissions().size();
    Workload workload(simulation, bookingKinds(), 3, 7);
    workload.setLoad(0.8);
    workload.run(3s);
    simulation.runFor(4s);
    const WorkloadResult result = resultOf(simulation);
    BOOST_TEST(before == 0U);
    BOOST_TEST(result.open == 0U);
    // The last upstream is back after 0.6 s; what came before waits for no longer than that.
    BOOST_TEST(result.notRun <= result.submitted / 100, result.notRun << " of " << result.submitted << " jobs were refused");
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_SUITE_END()
