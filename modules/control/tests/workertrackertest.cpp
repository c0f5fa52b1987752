#include <lagoonroute/control/offerregistry.h>
#include <lagoonroute/control/workertracker.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

namespace
{

Member memberOffering(std::vector<std::string> services)
{
    Member member;
    member.id = NodeId::fromName("a");
    member.incarnation = 1;
    for (std::string &service : services) {
        member.offers.push_back(ServiceOffer{ std::move(service), 8, 64, {} });
    }
    return member;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkerTrackerTest)

BOOST_AUTO_TEST_CASE(WorkerIsGoneOnlyWhenIncarnationEnds)
{
    WorkerTracker tracker;
    BOOST_TEST(tracker.memberChanged(memberOffering({ "booking", "pricing" })).size() == 2U);
    BOOST_TEST(tracker.memberChanged(memberOffering({ "booking", "pricing" })).empty());

    const auto withdrawn = tracker.memberChanged(memberOffering({ "booking" }));
    BOOST_REQUIRE(withdrawn.size() == 1U);
    BOOST_TEST(std::get<WorkerChanged>(withdrawn[0]).worker.leaving);

    Member suspect = memberOffering({ "booking" });
    suspect.status = MemberStatus::Suspect;
    const auto suspected = tracker.memberChanged(suspect);
    BOOST_REQUIRE(suspected.size() == 1U);
    BOOST_TEST(std::get<WorkerChanged>(suspected[0]).worker.leaving);

    BOOST_TEST(tracker.memberGone(suspect).size() == 2U);
    BOOST_TEST(tracker.memberGone(suspect).empty());
}

BOOST_AUTO_TEST_CASE(NewIncarnationEndsPreviousOne)
{
    WorkerTracker tracker;
    tracker.memberChanged(memberOffering({ "booking" }));
    Member restarted = memberOffering({ "booking" });
    restarted.incarnation = 2;
    const auto updates = tracker.memberChanged(restarted);
    BOOST_REQUIRE(updates.size() == 2U);
    BOOST_TEST((std::get<WorkerRemoved>(updates[0]).incarnation == 1U));
    BOOST_TEST((std::get<WorkerChanged>(updates[1]).worker.incarnation == 2U));
}

BOOST_AUTO_TEST_CASE(OfferExpiresWithoutRepeatedAnnouncement)
{
    const Instant now{};
    OfferRegistry registry(std::chrono::seconds(5));
    BOOST_TEST(registry.announce(UpstreamAnnounced{ "booking", 8, 64, {} }, now));
    BOOST_TEST(!registry.announce(UpstreamAnnounced{ "booking", 8, 64, {} }, now + std::chrono::seconds(3)));
    BOOST_TEST(registry.removeExpired(now + std::chrono::seconds(7)).empty());
    BOOST_TEST(registry.removeExpired(now + std::chrono::seconds(8)).size() == 1U);
    BOOST_TEST(registry.offers().empty());
}

BOOST_AUTO_TEST_SUITE_END()
