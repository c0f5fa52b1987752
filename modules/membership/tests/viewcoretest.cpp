#include "viewfixture.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(ViewCoreTest)

namespace
{

constexpr std::size_t memberCount = 11;
constexpr Duration settleTime = std::chrono::seconds(10);
constexpr Duration repairTime = std::chrono::seconds(15); // Detection of a failed member and a few store calls.

struct SettledViews : ViewCell
{
    explicit SettledViews(std::uint64_t seed = 1, std::size_t count = memberCount)
        : ViewCell(seed)
    {
        startAll(count);
        run(settleTime);
        BOOST_REQUIRE(isAdoptedEverywhere());
    }

    ~SettledViews()
    {
        for (const std::string &violation : violations) {
            BOOST_ERROR(violation);
        }
    }

    /** Isolates the given processes from the others, and from the store if `withoutStore`. */
    void isolate(const std::set<NodeId> &nodes, bool withoutStore)
    {
        std::set<NodeAddress> side;
        for (const NodeId node : nodes) {
            side.insert(addressOf(node));
        }
        faults.isCut = [side](const NodeAddress &from, const NodeAddress &to) { return (side.count(from) == 0) != (side.count(to) == 0); };
        if (withoutStore) {
            cutFromStore = side;
        }
    }

    bool mayStart(NodeId home)
    {
        const auto &starts = viewsOf(home).starts;
        const auto found = starts.find(shard);
        return found != starts.end() && found->second.allowed && (!found->second.until || *found->second.until > now());
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(FirstViewPlacesMirrorInAnotherZone)
{
    SettledViews cell;
    const ShardView view = cell.stored();
    BOOST_TEST(view.epoch == 1U);
    BOOST_TEST(cell.memberOf(view.home).zone != cell.memberOf(view.mirror).zone);
    BOOST_TEST(cell.mayStart(view.home));
    BOOST_TEST(cell.store.counts().leases == 0U);
}

BOOST_AUTO_TEST_CASE(MirrorIsPromotedAfterHomeFails)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    cell.killWithViews(before.home);
    cell.run(repairTime);
    const ShardView after = cell.stored();
    BOOST_TEST((after.home == before.mirror));
    BOOST_TEST(after.recordsKept);
    BOOST_TEST(cell.isRunning(after.mirror));
    BOOST_TEST(cell.isAdoptedEverywhere());
}

BOOST_AUTO_TEST_CASE(HomeReplacesFailedMirrorAndKeepsItWhenMemberJoins)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    cell.killWithViews(before.mirror);
    cell.run(repairTime);
    BOOST_TEST((cell.stored().home == before.home));
    BOOST_TEST(cell.isRunning(cell.stored().mirror));
    const ShardView settled = cell.stored();
    cell.startWithViews(Cell::describe(memberCount));
    cell.run(std::chrono::minutes(2));
    BOOST_TEST((cell.stored() == settled));
}

BOOST_AUTO_TEST_CASE(ProcessWithoutContactTakesNoShardOver)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    const Member newcomer = Cell::describe(memberCount);
    cell.faults.isCut = [newcomer](const NodeAddress &from, const NodeAddress &to) { return (from == newcomer.address) != (to == newcomer.address); };
    cell.startWithViews(newcomer);
    cell.run(std::chrono::minutes(5));
    BOOST_TEST((cell.stored() == before));
}

BOOST_AUTO_TEST_CASE(MirrorReplacesRestartedHome)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    Member restarted = cell.memberOf(before.home);
    ++restarted.incarnation;
    cell.startWithViews(restarted);
    cell.run(repairTime);
    BOOST_TEST((cell.stored().home == before.mirror));
    const auto &adopted = cell.viewsOf(restarted.id).adopted;
    BOOST_TEST((adopted.find(cell.shard) == adopted.end() || adopted.at(cell.shard).epoch > before.epoch));
}

BOOST_AUTO_TEST_CASE(TakeoverAfterHomeAndMirrorFailMarksRecordsLost)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    cell.killWithViews(before.home);
    cell.killWithViews(before.mirror);
    cell.run(std::chrono::seconds(45));
    BOOST_TEST(cell.isRunning(cell.stored().home));
    BOOST_TEST(cell.stored().epoch == before.epoch + 1);
    BOOST_TEST(!cell.stored().recordsKept);
}

BOOST_AUTO_TEST_CASE(IsolatedPairStopsStartsBeforeReplacement)
{
    for (const bool withoutStore : { true, false }) {
        SettledViews cell;
        const ShardView before = cell.stored();
        cell.isolate({ before.home, before.mirror }, withoutStore);
        for (int second = 0; second < 60; ++second) {
            cell.run(std::chrono::seconds(1));
            const bool isReplaced = cell.stored().home != before.home && cell.stored().mirror != before.home;
            BOOST_TEST(!(isReplaced && cell.mayStart(before.home)));
        }
        // If the pair reaches the store, the lease lets it continue; otherwise another pair takes over.
        BOOST_TEST((cell.stored().home == before.home) == !withoutStore);
    }
}

BOOST_AUTO_TEST_CASE(ViewsRecoverAfterStoreOutageAtStartAndDuringPromotion)
{
    ViewCell cell(1);
    cell.store.setFaults({ .down = true });
    cell.startAll(memberCount);
    cell.run(std::chrono::seconds(30));
    cell.store.setFaults({});
    cell.run(std::chrono::seconds(40));
    BOOST_TEST(cell.isAdoptedEverywhere());

    const ShardView before = cell.stored();
    cell.store.setFaults({ .down = true });
    cell.killWithViews(before.home);
    cell.run(std::chrono::seconds(60));
    BOOST_TEST((cell.stored() == before));
    cell.store.setFaults({});
    cell.run(std::chrono::seconds(40));
    BOOST_TEST((cell.stored().home == before.mirror));
    BOOST_TEST(cell.violations.empty());
}

BOOST_AUTO_TEST_CASE(ViewRecoversAfterLossOfWholeRack)
{
    SettledViews cell;
    const std::string rack = cell.memberOf(cell.stored().home).rack;
    for (std::size_t index = 0; index < memberCount; ++index) {
        if (Cell::describe(index).rack == rack) {
            cell.killWithViews(Cell::describe(index).id);
        }
    }
    cell.run(std::chrono::seconds(60));
    BOOST_TEST(cell.isRunning(cell.stored().home));
    BOOST_TEST(cell.isRunning(cell.stored().mirror));
}

BOOST_AUTO_TEST_CASE(DrainHandsShardOverToSynchronisedMirror)
{
    SettledViews cell;
    const ShardView before = cell.stored();
    cell.inject(cell.addressOf(before.home), LeaveRequested{});
    cell.feed(cell.addressOf(before.home), DrainRequested{});
    cell.run(std::chrono::seconds(5));
    BOOST_TEST((cell.stored().home == before.mirror));
    BOOST_TEST((cell.stored().mirror != before.home));
    BOOST_TEST(cell.viewsOf(before.home).core->isDrained());
}

BOOST_AUTO_TEST_CASE(DrainWaitsUntilMirrorIsSynchronised)
{
    ViewCell cell(1);
    cell.areRecordsCopied = false;
    cell.startAll(memberCount);
    cell.run(settleTime);
    const ShardView before = cell.stored();
    cell.feed(cell.addressOf(before.home), DrainRequested{});
    cell.run(std::chrono::seconds(5));
    BOOST_TEST((cell.stored() == before));
    cell.areRecordsCopied = true;
    cell.run(std::chrono::seconds(5));
    BOOST_TEST((cell.stored().home == before.mirror));
}

BOOST_AUTO_TEST_CASE(HomeWithoutMirrorStartsOnlyUnderLease)
{
    SettledViews cell(1, 1);
    const NodeId home = cell.stored().home;
    BOOST_TEST(!cell.stored().mirror.isValid());
    BOOST_TEST(cell.mayStart(home));
    cell.run(std::chrono::seconds(30));
    BOOST_TEST(cell.mayStart(home));
    cell.store.setFaults({ .down = true });
    cell.run(std::chrono::seconds(10));
    BOOST_TEST(!cell.mayStart(home));
}

BOOST_AUTO_TEST_CASE(RandomFaultSchedulesKeepOneHomePerEpoch)
{
    const bool holds = rc::check("one home per epoch, epochs never decrease, and the pair recovers", [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        ViewCell cell(seed);
        cell.faults.loss = *rc::gen::element(0.0, 0.05, 0.2);
        cell.faults.duplication = 0.1;
        cell.faults.jitter = std::chrono::milliseconds(*rc::gen::inRange(1, 100));
        cell.startAll(5);
        cell.run(settleTime);
        const int steps = *rc::gen::inRange(1, 8);
        std::set<std::size_t> paused;
        for (int step = 0; step < steps; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, 5);
            const Member member = Cell::describe(index, static_cast<Incarnation>(step) + 2);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                cell.startWithViews(member);
                break;
            case 1:
                cell.pause(member.id, true);
                break;
            case 2:
                cell.pause(member.id, false);
                break;
            case 3:
                cell.store.setFaults({ .requestLoss = 0.2, .answerLoss = 0.5, .delay = std::chrono::milliseconds(5) });
                break;
            case 4:
                cell.store.setFaults({ .down = true });
                break;
            default:
                cell.store.setFaults({});
            }
            cell.run(std::chrono::seconds(*rc::gen::inRange(1, 30)));
        }
        cell.store.setFaults({});
        cell.faults = {};
        for (std::size_t index = 0; index < 5; ++index) {
            cell.pause(Cell::describe(index).id, false);
        }
        cell.run(std::chrono::seconds(120));
        RC_ASSERT(cell.violations.empty());
        RC_ASSERT(cell.isAdoptedEverywhere());
        RC_ASSERT(cell.isRunning(cell.stored().home) && cell.isRunning(cell.stored().mirror));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
