#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(GuaranteesTest)

/** Injects random faults of all kinds by seed. The guarantees must hold, and every open request must be answered in the end. */
BOOST_AUTO_TEST_CASE(GuaranteesHoldUnderRandomCombinedFaults)
{
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
        DirectSimulation::Options options;
        options.seed = seed;
        Deployment deployment(options);
        Workload workload(deployment.simulation, bookingKinds(), 3, seed);
        std::mt19937_64 random(seed);
        workload.setLoad(0.6 + (static_cast<double>(random() % 60) / 100));
        std::vector<std::size_t> disconnected; // submissions whose connection broke in the previous round
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
            // A client account without an answer resubmits its job to another entry, 1.3 s after its connection broke.
            const std::size_t before = deployment.simulation.submissions().size();
            workload.run(1300ms);
            for (const std::size_t position : std::exchange(disconnected, {})) {
                deployment.simulation.resubmit((deployment.submission(position).entry + 1) % 3, position, 2s, false);
            }
            if (before > 0) {
                for (int again = 0; again < 5; ++again) {
                    const std::size_t position = random() % before;
                    if (!deployment.submission(position).answeredAt && deployment.simulation.now() - deployment.submission(position).submittedAt > 1300ms) {
                        deployment.simulation.disconnect(position);
                        disconnected.push_back(position);
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
