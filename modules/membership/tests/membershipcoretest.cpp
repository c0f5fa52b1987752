#include "cellfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(MembershipCoreTest)

namespace
{

constexpr std::size_t memberCount = 11;
constexpr Duration settleTime = std::chrono::seconds(15);
constexpr Duration leaveBound = std::chrono::seconds(3);

struct SettledCell : Cell
{
    explicit SettledCell(std::uint64_t seed = 1, std::size_t count = memberCount)
        : Cell(seed)
    {
        startMany(count);
        run(settleTime);
        BOOST_REQUIRE(isComplete());
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(LeaveReachesEveryMemberWithinThreeSeconds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SettledCell cell(seed);
        cell.faults.loss = 0.2;
        cell.faults.duplication = 0.1;
        cell.faults.jitter = std::chrono::milliseconds(20);
        const NodeId leaver = Cell::describe(4).id;
        cell.inject(Cell::describe(4).address, LeaveRequested{});
        cell.run(leaveBound);
        BOOST_TEST(cell.noneReports(leaver, MemberStatus::Alive));
        cell.inject(Cell::describe(4).address, LeaveCompleted{});
        cell.kill(4);
        cell.run(cell.detection);
        BOOST_TEST(cell.allAgree(leaver, MemberStatus::Dead));
    }
}

BOOST_AUTO_TEST_CASE(EveryMemberDeclaresFailedMemberDeadWithinDetectionBound)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SettledCell cell(seed);
        cell.faults.loss = 0.05;
        cell.kill(seed % memberCount);
        cell.run(cell.detection);
        BOOST_TEST(cell.allAgree(Cell::describe(seed % memberCount).id, MemberStatus::Dead));
    }
}

BOOST_AUTO_TEST_CASE(MembersRejoinAfterPartitionEnds)
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

BOOST_AUTO_TEST_CASE(RestartAtSameAddressIsReportedAsNewIncarnation)
{
    SettledCell cell;
    const Member old = cell.process(5).self;
    cell.start(Cell::describe(5, 2));
    cell.run(settleTime);
    for (const auto &[address, process] : cell.processes()) {
        if (process.self.id == old.id) {
            continue;
        }
        BOOST_TEST(process.reportedMembers.at(old.id).incarnation == 2U);
        const auto gone = std::count_if(process.reportedActions.begin(), process.reportedActions.end(), [&old](const MembershipAction &action) {
            const auto *event = std::get_if<MemberGone>(&action);
            return event != nullptr && event->member.id == old.id && event->member.incarnation == old.incarnation;
        });
        BOOST_TEST(gone == 1);
    }
}

BOOST_AUTO_TEST_CASE(NewNameAtSameAddressReplacesOldMember)
{
    SettledCell cell;
    Member replacement = Cell::describe(5, 2);
    replacement.name = "agent-replacement";
    replacement.id = NodeId::fromName(replacement.name);
    cell.start(replacement);
    cell.run(std::chrono::milliseconds(1500)); // Shorter than detection by probe and suspicion timeout, so that the cause is the new process at the address.
    BOOST_TEST(cell.allAgree(Cell::describe(5).id, MemberStatus::Dead));
    BOOST_TEST(cell.allAgree(replacement.id, MemberStatus::Alive));
}

BOOST_AUTO_TEST_CASE(PausedProcessSuspectsNoMemberAndRejoins)
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

BOOST_AUTO_TEST_CASE(BrieflyPausedProcessRefutesSuspicion)
{
    SettledCell cell;
    cell.process(3).paused = true;
    cell.run(std::chrono::milliseconds(1200));
    cell.process(3).paused = false;
    cell.run(settleTime);
    BOOST_TEST(cell.isComplete());
    for (const auto &[address, process] : cell.processes()) {
        for (const MembershipAction &action : process.reportedActions) {
            BOOST_TEST(!std::holds_alternative<MemberGone>(action));
        }
    }
}

BOOST_AUTO_TEST_CASE(BrokenLinkBetweenTwoMembersRaisesNoSuspicion)
{
    SettledCell cell;
    const std::set<NodeAddress> pair{ Cell::describe(1).address, Cell::describe(2).address };
    cell.faults.isCut = [pair](const NodeAddress &from, const NodeAddress &to) { return pair.count(from) == 1 && pair.count(to) == 1; };
    cell.run(std::chrono::minutes(1));
    BOOST_TEST(cell.process(1).core->counts().suspicions == 0U);
    BOOST_TEST(cell.process(2).core->counts().suspicions == 0U);
}

BOOST_AUTO_TEST_CASE(FlappingMemberIsReportedSuspectUntilStable)
{
    SettledCell cell;
    for (Incarnation incarnation = 2; incarnation < 8; ++incarnation) {
        cell.start(Cell::describe(5, incarnation));
        cell.run(std::chrono::seconds(2));
    }
    BOOST_TEST(cell.allAgree(Cell::describe(5).id, MemberStatus::Suspect));
    cell.run(std::chrono::minutes(2));
    BOOST_TEST(cell.isComplete());
}

BOOST_AUTO_TEST_CASE(ViewReachesEveryMemberDespiteLoss)
{
    SettledCell cell;
    cell.faults.loss = 0.2;
    const ShardView view{ { "booking", 0 }, 7, Cell::describe(1).id, Cell::describe(2).id };
    cell.inject(Cell::describe(1).address, ViewReadFromStore{ view });
    cell.run(leaveBound);
    for (const auto &[address, process] : cell.processes()) {
        const bool hasView = std::any_of(process.reportedActions.begin(), process.reportedActions.end(), [&view](const MembershipAction &action) {
            const auto *received = std::get_if<NewerViewReceived>(&action);
            return received != nullptr && received->view == view;
        });
        BOOST_TEST((hasView || address == Cell::describe(1).address));
    }
    BOOST_TEST(cell.largestDatagram <= maxGossipBytes);
}

BOOST_AUTO_TEST_CASE(WithdrawnOffersReachEveryMemberWithinThreeSeconds)
{
    SettledCell cell;
    cell.faults.loss = 0.2;
    cell.inject(Cell::describe(6).address, LocalStateChanged{ {}, 0 });
    cell.run(leaveBound);
    for (const auto &[address, process] : cell.processes()) {
        if (address != Cell::describe(6).address) {
            BOOST_TEST(process.reportedMembers.at(Cell::describe(6).id).offers.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
