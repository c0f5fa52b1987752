#include "cellfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(MembershipCoreTest)

namespace
{

constexpr std::size_t deployment = 11;
constexpr Duration settleTime = std::chrono::seconds(15);
constexpr Duration leaveBound = std::chrono::seconds(3);

struct SettledCell : Cell
{
    explicit SettledCell(std::uint64_t seed = 1, std::size_t count = deployment)
        : Cell(seed)
    {
        startMany(count);
        run(settleTime);
        BOOST_REQUIRE(isComplete());
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(LeavingIsSeenEverywhereWithinThreeSeconds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SettledCell cell(seed);
        cell.faults.loss = 0.2;
        cell.faults.duplication = 0.1;
        cell.faults.jitter = std::chrono::milliseconds(20);
        const NodeId leaver = Cell::describe(4).id;
        cell.inject(Cell::describe(4).address, LeaveRequested{});
        cell.run(leaveBound);
        BOOST_TEST(cell.noneBelieves(leaver, MemberStatus::Alive));
        cell.inject(Cell::describe(4).address, LeaveCompleted{});
        cell.kill(4);
        cell.run(cell.detection);
        BOOST_TEST(cell.allAgree(leaver, MemberStatus::Dead));
    }
}

BOOST_AUTO_TEST_CASE(DeathIsSeenEverywhereWithinTheBound)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SettledCell cell(seed);
        cell.faults.loss = 0.05;
        cell.kill(seed % deployment);
        cell.run(cell.detection);
        BOOST_TEST(cell.allAgree(Cell::describe(seed % deployment).id, MemberStatus::Dead));
    }
}

BOOST_AUTO_TEST_CASE(PartitionHeals)
{
    SettledCell cell;
    const auto side = [](const NodeAddress &address) { return address < Cell::describe(4).address; };
    cell.faults.isCut = [side](const NodeAddress &from, const NodeAddress &to) { return side(from) != side(to); };
    cell.run(std::chrono::seconds(60));
    BOOST_TEST(!cell.isComplete());
    cell.faults.isCut = [](const NodeAddress &, const NodeAddress &) { return false; };
    cell.run(std::chrono::seconds(30));
    BOOST_TEST(cell.isComplete());
}

BOOST_AUTO_TEST_CASE(RestartAtTheSameAddressIsANewLife)
{
    SettledCell cell;
    const Member old = cell.process(5).self;
    cell.start(Cell::describe(5, 2));
    cell.run(settleTime);
    for (const auto &[address, process] : cell.processes()) {
        if (process.self.id == old.id) {
            continue;
        }
        BOOST_TEST(process.believed.at(old.id).incarnation == 2U);
        const auto gone = std::count_if(process.reported.begin(), process.reported.end(), [&old](const MembershipAction &action) {
            const auto *event = std::get_if<MemberGone>(&action);
            return event != nullptr && event->member.id == old.id && event->member.incarnation == old.incarnation;
        });
        BOOST_TEST(gone == 1);
    }
}

BOOST_AUTO_TEST_CASE(OtherNameAtTheSameAddressReplacesTheOldProcess)
{
    SettledCell cell;
    Member replacement = Cell::describe(5, 2);
    replacement.name = "agent-replacement";
    replacement.id = NodeId::fromName(replacement.name);
    cell.start(replacement);
    cell.run(std::chrono::milliseconds(1500)); // Less than a probe and the time to refute, which would find it as well.
    BOOST_TEST(cell.allAgree(Cell::describe(5).id, MemberStatus::Dead));
    BOOST_TEST(cell.allAgree(replacement.id, MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(PausedProcessAccusesNobodyAndComesBack)
{
    SettledCell cell;
    cell.process(3).paused = true;
    cell.run(std::chrono::seconds(20));
    BOOST_TEST(cell.allAgree(Cell::describe(3).id, MemberStatus::Dead));
    cell.process(3).paused = false;
    cell.run(settleTime);
    BOOST_TEST(cell.isComplete());
    BOOST_TEST(cell.process(3).core->counts().suspicions == 0U);
}

BOOST_AUTO_TEST_CASE(SlowProcessRefutesWithoutDying)
{
    SettledCell cell;
    cell.process(3).paused = true;
    cell.run(std::chrono::milliseconds(1200));
    cell.process(3).paused = false;
    cell.run(settleTime);
    BOOST_TEST(cell.isComplete());
    for (const auto &[address, process] : cell.processes()) {
        for (const MembershipAction &action : process.reported) {
            BOOST_TEST(!std::holds_alternative<MemberGone>(action));
        }
    }
}

BOOST_AUTO_TEST_CASE(BrokenLinkBetweenTwoProcessesAccusesNeither)
{
    SettledCell cell;
    const std::set<NodeAddress> pair{ Cell::describe(1).address, Cell::describe(2).address };
    cell.faults.isCut = [pair](const NodeAddress &from, const NodeAddress &to) { return pair.count(from) == 1 && pair.count(to) == 1; };
    cell.run(std::chrono::minutes(1));
    BOOST_TEST(cell.process(1).core->counts().suspicions == 0U);
    BOOST_TEST(cell.process(2).core->counts().suspicions == 0U);
}

BOOST_AUTO_TEST_CASE(FlappingProcessIsHeldBack)
{
    SettledCell cell;
    for (Incarnation life = 2; life < 8; ++life) {
        cell.start(Cell::describe(5, life));
        cell.run(std::chrono::seconds(2));
    }
    BOOST_TEST(cell.allAgree(Cell::describe(5).id, MemberStatus::Suspect));
    cell.run(std::chrono::minutes(2));
    BOOST_TEST(cell.isComplete());
}

BOOST_AUTO_TEST_CASE(RevisionsAndViewsReachEveryone)
{
    SettledCell cell;
    cell.faults.loss = 0.2;
    const ShardView view{ { "booking", 0 }, 7, Cell::describe(1).id, Cell::describe(2).id };
    cell.inject(Cell::describe(1).address, ViewLearned{ view });
    cell.run(leaveBound);
    for (const auto &[address, process] : cell.processes()) {
        const bool hasView = std::any_of(process.reported.begin(), process.reported.end(), [&view](const MembershipAction &action) {
            const auto *spread = std::get_if<NewerViewReceived>(&action);
            return spread != nullptr && spread->view == view;
        });
        BOOST_TEST((hasView || address == Cell::describe(1).address));
    }
    BOOST_TEST(cell.largestDatagram <= maxGossipBytes);
}

BOOST_AUTO_TEST_CASE(OffersThatLapseAreWithdrawnEverywhereWithinThreeSeconds)
{
    SettledCell cell;
    cell.faults.loss = 0.2;
    cell.inject(Cell::describe(6).address, LocalChanged{ {}, 0 });
    cell.run(leaveBound);
    for (const auto &[address, process] : cell.processes()) {
        if (address != Cell::describe(6).address) {
            BOOST_TEST(process.believed.at(Cell::describe(6).id).offers.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
