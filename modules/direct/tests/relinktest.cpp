#include <lagoonroute/direct/direct.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace lagoonroute;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RelinkTest)

// With a large configuration and a link of low bandwidth, each reconnection sent the whole configuration again, which congested
// the link until it was lost again.
BOOST_AUTO_TEST_CASE(ReconnectedEntryIsNotSentUnrequestedConfiguration)
{
    Instant now{ 100s };
    UpstreamActions actions;
    UpstreamCore core(UpstreamCore::Options().withNode("agent-1", "zone-1", 1));
    core.handleTimers(now, actions);
    now += 2s;
    core.openLink(1, now, actions);
    core.receive(1, EntryHello{ "entry-1", "10.0.0.1:7000" }, now, actions);
    core.receive(1, ConfigurationDocument{ 7, std::string(500'000, 'x') }, now, actions);
    core.closeLink(1, now, actions);
    for (LinkId link = 2; link < 12; ++link) {
        core.openLink(link, now, actions);
        core.receive(link, EntryHello{ "entry-1", "10.0.0.1:7000" }, now, actions);
        now += 10ms;
        core.handleTimers(now, actions);
        core.closeLink(link, now, actions);
    }
    const auto documents = std::count_if(actions.begin(), actions.end(), [](const UpstreamAction &action) {
        const auto *send = std::get_if<SendOnLink>(&action);
        return send != nullptr && std::holds_alternative<ConfigurationDocument>(send->message);
    });
    BOOST_TEST(documents == 0);
}

BOOST_AUTO_TEST_SUITE_END()
