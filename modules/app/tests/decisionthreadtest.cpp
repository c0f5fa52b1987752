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

/** Adds up the numbers it is given; a negative one is an error that nobody expects. */
struct SummingCore
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

struct BlindObserver
{
    void observe(int /*event*/, Instant /*now*/)
    {
    }

    void publish(const SummingCore & /*core*/)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecisionThreadTest)

BOOST_AUTO_TEST_CASE(GoesOnAfterAnEventThatFails)
{
    SummingCore core;
    SummingPorts ports;
    BlindObserver observer;
    WakeSignal signal;
    DecisionThread<SummingCore, SummingPorts, BlindObserver> thread(core, ports, observer, signal);
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
