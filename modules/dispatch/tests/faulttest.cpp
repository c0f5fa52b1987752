#include "corenetwork.h"

#include <rapidcheck/boost_test.h>

#include <cstdlib>

using namespace lagoonroute;
using namespace lagoonroute::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t entryCount = 3;
constexpr std::size_t agentCount = 5;

/** Fixes the seed and the number of cases of every property in this program. */
struct FixedSeed
{
    FixedSeed()
    {
        setenv("RC_PARAMS", "seed=20270213 max_success=500 max_size=80", 0);
    }
};

enum class Step : int {
    Submit,
    Resubmit,
    Cancel,
    LookUp,
    CrashAgent,
    CrashHome,
    CrashMirror,
    CrashEntry,
    RestartAgents,
    PauseHome,
    PauseMirror,
    Last,
};

/** Performs one step of a scenario; `number` selects the job, node or duration. */
void performStep(CoreNetwork &network, Step step, unsigned number, std::size_t &jobs)
{
    const std::size_t entry = number % entryCount;
    const std::size_t job = jobs == 0 ? 0 : number % jobs;
    const std::size_t home = network.agentIndex(network.view().home);
    const std::size_t mirror = network.agentIndex(network.view().mirror);
    switch (step) {
    case Step::Submit:
        network.submit(jobs++, entry);
        break;
    case Step::Resubmit:
        network.submit(job, entry);
        break;
    case Step::Cancel:
        network.cancel(job, entry);
        break;
    case Step::LookUp:
        network.lookUp(job, entry);
        break;
    case Step::CrashAgent:
        network.crash(number % agentCount);
        break;
    case Step::CrashHome:
        network.crash(home);
        break;
    case Step::CrashMirror:
        if (mirror < agentCount) {
            network.crash(mirror);
        }
        break;
    case Step::CrashEntry:
        network.crashEntry(0);
        break;
    case Step::RestartAgents:
        for (std::size_t agent = 0; agent < agentCount; ++agent) {
            network.restart(agent);
        }
        break;
    case Step::PauseHome:
        network.pause(home, milliseconds(200 + number % 3000));
        break;
    case Step::PauseMirror:
        if (mirror < agentCount) {
            network.pause(mirror, milliseconds(200 + number % 3000));
        }
        break;
    case Step::Last:
        break;
    }
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

BOOST_AUTO_TEST_SUITE(FaultTest)

RC_BOOST_PROP(EveryRequestGetsOneCorrectAnswer, ())
{
    const NetworkFaults faults{ .lossPercent = *rc::gen::element(0, 2, 10),
                                .duplicationPercent = *rc::gen::element(0, 10),
                                .delayPercent = *rc::gen::element(0, 5),
                                .upstreamFailurePercent = *rc::gen::element(0, 5),
                                .upstreamUnreachablePercent = *rc::gen::element(0, 5) };
    CoreNetwork network(entryCount, agentCount, *rc::gen::arbitrary<std::uint64_t>(), faults);
    std::size_t jobs = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(rc::gen::pair(
        rc::gen::weightedOneOf<int>({ { 2, rc::gen::just(0) }, { 3, rc::gen::inRange(0, static_cast<int>(Step::Last)) } }), rc::gen::inRange(0U, 100'000U)));
    for (const auto &[step, number] : steps) {
        performStep(network, static_cast<Step>(step), number, jobs);
        network.run(milliseconds(number % 200));
    }
    performStep(network, Step::RestartAgents, 0, jobs);
    network.run(seconds(60));
    const auto violations = network.violations();
    if (!violations.empty()) {
        RC_FAIL(joined(violations));
    }
}

BOOST_AUTO_TEST_SUITE_END()
