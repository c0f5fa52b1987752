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

/** An agent with six entries that have heard that nothing is free, and that are used to tasks of one size. */
struct Agent
{
    Agent()
    {
        for (LinkId link = 1; link <= 6; ++link) {
            announcer.open(link);
            announcer.startHandled(link, oneTask);
        }
    }

    std::vector<CapacityAnnouncer::Statement> tell(const Resources &free, Duration later)
    {
        now += later;
        return announcer.due(free, capacity, now);
    }

    void want(LinkId link, std::uint32_t priority, const Resources &need = oneTask)
    {
        announcer.want(link, CapacityRequest{ true, priority, need }, now);
        now += 1ms;
    }

    CapacityAnnouncer announcer{ CapacityAnnouncer::Options() };
    Instant now{ 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CapacityAnnouncerTest)

// Pattern: a burst at many entries. Every one was told of each freed room, and all but one were refused.
BOOST_AUTO_TEST_CASE(RoomForOneTaskIsToldToOneEntry)
{
    Agent agent;
    const auto statements = agent.tell(oneTask, 10ms);
    BOOST_TEST(statements.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RoomForManyTasksIsToldToEveryEntry)
{
    Agent agent;
    BOOST_TEST(agent.tell({ 48'000, 500, 0 }, 30ms).size() == 6U);
}

BOOST_AUTO_TEST_CASE(EntriesHearOfScarceRoomByTurns)
{
    Agent agent;
    std::set<LinkId> told;
    for (int round = 0; round < 6; ++round) {
        for (const CapacityAnnouncer::Statement &statement : agent.tell(oneTask, 10ms)) {
            told.insert(statement.link);
        }
        agent.tell({}, 10ms);
    }
    BOOST_TEST(told.size() == 6U);
}

BOOST_AUTO_TEST_CASE(TheMostUrgentOfTheEntriesThatWaitIsToldAlone)
{
    Agent agent;
    agent.want(2, 1);
    agent.want(3, 0);
    agent.want(4, 1);
    const auto first = agent.tell(oneTask, 10ms);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front() == CapacityAnnouncer::Statement{ 3, oneTask, true }));
    BOOST_TEST(agent.tell(oneTask, 1ms).empty());
    agent.announcer.startHandled(3, oneTask);
    const auto second = agent.tell(oneTask, 1ms);
    BOOST_REQUIRE(!second.empty());
    BOOST_TEST(second.front().link == 2U);
}

BOOST_AUTO_TEST_CASE(ATurnThatIsNotUsedGoesOn)
{
    Agent agent;
    agent.want(2, 0);
    agent.want(3, 0);
    BOOST_TEST(agent.tell(oneTask, 10ms).front().link == 2U);
    agent.announcer.want(2, CapacityRequest{}, agent.now);
    BOOST_TEST(agent.tell(oneTask, 1ms).front().link == 3U);
    agent.want(4, 0);
    BOOST_TEST(agent.tell(oneTask, CapacityAnnouncer::Options().turnTime).front().link == 4U);
}

BOOST_AUTO_TEST_CASE(RoomThatIsTooSmallForThoseWhoWaitIsToldToOthers)
{
    Agent agent;
    agent.want(2, 0, { 20'000, 10, 0 });
    const auto statements = agent.tell(oneTask, 10ms);
    BOOST_REQUIRE(statements.size() == 1U);
    BOOST_TEST(!statements.front().isExclusive);
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsGoneHoldsNothingUp)
{
    Agent agent;
    agent.want(2, 0);
    agent.want(3, 0);
    BOOST_TEST(agent.tell(oneTask, 10ms).front().link == 2U);
    agent.announcer.close(2);
    BOOST_TEST(agent.tell(oneTask, 1ms).front().link == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
