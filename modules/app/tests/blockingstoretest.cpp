#include "blockingstore.h"

#include <lagoonroute/configuration/submitcore.h>
#include <lagoonroute/store/memorystore.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** Delivers the answer to each call only after the next call. */
class DelayedPort
{
public:
    bool submit(const StoreCall &call)
    {
        if (m_held) {
            m_ready = m_held;
        }
        m_held = StoreReply{ call.number, StoreStatus::Ok, {} };
        return true;
    }

    template <typename Consumer>
    void drain(Consumer &&consume)
    {
        if (auto reply = std::exchange(m_ready, std::nullopt)) {
            consume(*std::move(reply));
        }
    }

private:
    std::optional<StoreReply> m_held;
    std::optional<StoreReply> m_ready;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BlockingStoreTest)

BOOST_AUTO_TEST_CASE(LateAnswerDoesNotMatchNextCall)
{
    DelayedPort port;
    WakeSignal signal;
    BlockingStore store(port, signal, 1ms);
    const StoreCall call{ 1, StorePurpose::Configuration, StoreRead{ "key" } };
    BOOST_TEST((store.call(call).status == StoreStatus::Unknown));
    BOOST_TEST((store.call(call).status == StoreStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(SubmissionToMemoryStoreReturnsOutcome)
{
    const auto shared = std::make_shared<SharedStore>();
    WakeSignal signal;
    MemoryStore port(shared, signal);
    const auto outcomeOf = [&](Revision reviewed, const std::string &mark, Duration timeout) {
        BlockingStore store(port, signal, timeout);
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
    BOOST_TEST((outcomeOf(2, "e", 1ms) == SubmitOutcome::NotSubmitted)); // No read succeeds, so no swap is attempted.
    shared->setFaults({});
    BOOST_TEST((outcomeOf(2, "f", longEnough) == SubmitOutcome::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()
