#include "waitingstore.h"

#include <lagoonroute/configuration/submitcore.h>
#include <lagoonroute/platform/memorystore.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WaitingStoreTest)

BOOST_AUTO_TEST_CASE(SubmissionOverTheStoreOfOneProcess)
{
    const auto shared = std::make_shared<SharedStore>();
    WakeSignal signal;
    MemoryStore port(shared, signal);
    const auto outcomeOf = [&](Revision reviewed, const std::string &mark, Duration timeout) {
        WaitingStore store(port, signal, timeout);
        SubmitCore core({ .reviewed = reviewed, .author = "aminata", .reason = "festival", .mark = mark });
        while (const auto call = core.nextCall()) {
            core.handle(store.call(*call));
        }
        return core.result()->outcome;
    };
    constexpr Duration longEnough = 1h;
    BOOST_TEST((outcomeOf(0, "a", longEnough) == SubmitOutcome::Accepted));
    BOOST_TEST((outcomeOf(1, "b", longEnough) == SubmitOutcome::Accepted));
    BOOST_TEST((outcomeOf(1, "c", longEnough) == SubmitOutcome::Conflict));
    shared->setFaults({ .down = true });
    BOOST_TEST((outcomeOf(2, "d", 1ms) == SubmitOutcome::NotSubmitted));
    shared->setFaults({ .answerLoss = 1 });
    BOOST_TEST((outcomeOf(2, "e", 1ms) == SubmitOutcome::NotSubmitted)); // No read succeeds, so that nothing is swapped.
    shared->setFaults({});
    BOOST_TEST((outcomeOf(2, "f", longEnough) == SubmitOutcome::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()
