#include <lagoonroute/direct/direct.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

const Resources capacity{ 64'000, 1000, 0 };
const Resources oneTask{ 6000, 10, 0 };

/** An agent with six entries to which no free capacity was announced, and whose starts have all had the same need. */
struct Agent
{
    Agent()
    {
        for (LinkId link = 1; link <= 6; ++link) {
            announcer.open(link);
            announcer.startHandled(link, oneTask);
        }
    }

    std::vector<CapacityAnnouncer::Announcement> dueAfter(const Resources &free, Duration later)
    {
        now += later;
        return announcer.due(free, capacity, now);
    }

    void request(LinkId link, std::uint32_t priority, const Resources &need = oneTask)
    {
        announcer.setRequest(link, CapacityRequest{ true, priority, need }, now);
        now += 1ms;
    }

    CapacityAnnouncer announcer{ CapacityAnnouncer::Options() };
    Instant now{ 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityAnnouncerTest)

// Guards against starts that are refused in a burst: when freed capacity was announced to every entry, all but one start
// were refused.
BOOST_AUTO_TEST_CASE(CapacityForOneTaskIsAnnouncedToOneEntry)
{
    Agent agent;
    const auto announcements = agent.dueAfter(oneTask, 10ms);
    BOOST_TEST(announcements.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CapacityForManyTasksIsAnnouncedToEveryEntry)
{
    Agent agent;
    BOOST_TEST(agent.dueAfter({ 48'000, 500, 0 }, 30ms).size() == 6U);
}

BOOST_AUTO_TEST_CASE(ScarceCapacityIsAnnouncedRoundRobin)
{
    Agent agent;
    std::set<LinkId> notified;
    for (int round = 0; round < 6; ++round) {
        for (const CapacityAnnouncer::Announcement &announcement : agent.dueAfter(oneTask, 10ms)) {
            notified.insert(announcement.link);
        }
        agent.dueAfter({}, 10ms);
    }
    BOOST_TEST(notified.size() == 6U);
}

BOOST_AUTO_TEST_CASE(MostUrgentWaitingEntryGetsExclusiveNotice)
{
    Agent agent;
    agent.request(2, 1);
    agent.request(3, 0);
    agent.request(4, 1);
    const auto first = agent.dueAfter(oneTask, 10ms);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front() == CapacityAnnouncer::Announcement{ 3, oneTask, true }));
    BOOST_TEST(agent.dueAfter(oneTask, 1ms).empty());
    agent.announcer.startHandled(3, oneTask);
    const auto second = agent.dueAfter(oneTask, 1ms);
    BOOST_REQUIRE(!second.empty());
    BOOST_TEST(second.front().link == 2U);
}

BOOST_AUTO_TEST_CASE(UnusedExclusiveNoticePassesToNextEntry)
{
    Agent agent;
    agent.request(2, 0);
    agent.request(3, 0);
    BOOST_TEST(agent.dueAfter(oneTask, 10ms).front().link == 2U);
    agent.announcer.setRequest(2, CapacityRequest{}, agent.now);
    BOOST_TEST(agent.dueAfter(oneTask, 1ms).front().link == 3U);
    agent.request(4, 0);
    BOOST_TEST(agent.dueAfter(oneTask, CapacityAnnouncer::Options().exclusiveNoticeTimeout).front().link == 4U);
}

BOOST_AUTO_TEST_CASE(CapacityTooSmallForRequestsIsAnnouncedToOtherEntries)
{
    Agent agent;
    agent.request(2, 0, { 20'000, 10, 0 });
    const auto announcements = agent.dueAfter(oneTask, 10ms);
    BOOST_REQUIRE(announcements.size() == 1U);
    BOOST_TEST(!announcements.front().isExclusive);
}

BOOST_AUTO_TEST_CASE(ClosedLinkEndsExclusiveNotice)
{
    Agent agent;
    agent.request(2, 0);
    agent.request(3, 0);
    BOOST_TEST(agent.dueAfter(oneTask, 10ms).front().link == 2U);
    agent.announcer.close(2);
    BOOST_TEST(agent.dueAfter(oneTask, 1ms).front().link == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
