#include "decisionthread.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>
#include <stdexcept>
#include <vector>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** Emits each number as an action; throws an exception on a negative number. */
struct EchoCore
{
    using Event = int;
    using Action = int;

    void handle(const Event &event, Instant /*now*/, std::vector<Action> &actions)
    {
        if (event < 0) {
            throw std::runtime_error("negative");
        }
        actions.push_back(event);
    }

    static Event elapsed()
    {
        return 0;
    }

    [[nodiscard]] static std::optional<Instant> nextWake()
    {
        return std::nullopt;
    }

    [[nodiscard]] static bool isDrained()
    {
        return true;
    }

    [[nodiscard]] static bool isReady()
    {
        return true;
    }
};

struct SummingPorts
{
    template <typename Consumer>
    void drain(Consumer && /*consume*/)
    {
    }

    void perform(int action)
    {
        sum += action;
    }

    std::atomic<int> sum = 0;
};

struct NullObserver
{
    void observe(int /*event*/, Instant /*now*/)
    {
    }

    void publish(const EchoCore & /*core*/)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecisionThreadTest)

BOOST_AUTO_TEST_CASE(ContinuesAfterExceptionInCore)
{
    EchoCore core;
    SummingPorts ports;
    NullObserver observer;
    WakeSignal signal;
    DecisionThread<EchoCore, SummingPorts, NullObserver> thread(core, ports, observer, signal);
    thread.start();
    for (const int number : { 1, -1, 2 }) {
        BOOST_REQUIRE(thread.inject(number));
    }
    for (int tries = 0; ports.sum < 3 && tries < 5000; ++tries) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(ports.sum == 3);
}

BOOST_AUTO_TEST_SUITE_END()
