#include <lagoonroute/store/keyfollower.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };
constexpr std::uint64_t callNumber = 9;

KeyFollower follower()
{
    return KeyFollower(KeyFollower::Options().withKey("key", StorePurpose::Configuration), callNumber);
}

StoreReply reply(StoreStatus status, StoreVersion asOf, StoreVersion version = 0, const std::string &value = "")
{
    return StoreReply{ .number = callNumber, .status = status, .entry = { value, version }, .asOf = asOf };
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyFollowerTest)

BOOST_AUTO_TEST_CASE(ReadsThenWatchesFromVersionOfLastAnswer)
{
    KeyFollower key = follower();
    BOOST_TEST(std::holds_alternative<StoreRead>(key.next(start)->operation));
    BOOST_TEST(!key.next(start).has_value());
    BOOST_TEST(key.handle(reply(StoreStatus::Ok, 30, 20, "a"), start)->value == "a");
    const auto watch = key.next(start);
    BOOST_TEST(std::get<StoreWatch>(watch->operation).knownVersion == 30U);
    BOOST_TEST(!key.handle(reply(StoreStatus::Unchanged, 35), start).has_value());
    BOOST_TEST(std::get<StoreWatch>(key.next(start)->operation).knownVersion == 35U);
    BOOST_TEST(key.handle(reply(StoreStatus::Ok, 40, 40, "b"), start)->value == "b");
}

BOOST_AUTO_TEST_CASE(OlderEntryIsIgnored)
{
    KeyFollower key = follower();
    key.next(start);
    key.handle(reply(StoreStatus::Ok, 40, 40, "new"), start);
    key.refresh(start);
    key.next(start);
    BOOST_TEST(!key.handle(reply(StoreStatus::Ok, 20, 20, "old"), start).has_value());
    BOOST_TEST(key.entry().value == "new");
}

BOOST_AUTO_TEST_CASE(LostAnswerCausesRead)
{
    KeyFollower key = follower();
    key.next(start);
    key.handle(reply(StoreStatus::Ok, 30, 20, "a"), start);
    key.next(start);
    key.handle(reply(StoreStatus::Unknown, 0), start);
    BOOST_TEST(!key.isInContact());
    BOOST_TEST(!key.next(start).has_value());
    const Instant later = *key.nextWake();
    BOOST_TEST((later - start <= 100ms));
    BOOST_TEST(std::holds_alternative<StoreRead>(key.next(later)->operation));
}

BOOST_AUTO_TEST_CASE(RefusedWatchCausesPolling)
{
    KeyFollower key = follower();
    Instant now = start;
    std::size_t calls = 0;
    // The store does not change, and its history no longer includes its newest version, so it refuses every watch.
    while (now < start + 20s) {
        if (const auto call = key.next(now)) {
            ++calls;
            const bool isRead = std::holds_alternative<StoreRead>(call->operation);
            key.handle(isRead ? reply(StoreStatus::Ok, 30, 20, "a") : reply(StoreStatus::Conflict, 0), now);
        }
        now += 10ms;
    }
    BOOST_TEST(calls <= 23U);
    BOOST_TEST(calls >= 18U);
    // After a change of the store, the follower watches from the new version.
    const auto read = key.next(now + 1s);
    BOOST_TEST(std::holds_alternative<StoreRead>(read->operation));
    BOOST_TEST(key.handle(reply(StoreStatus::Ok, 31, 31, "b"), now + 1s)->value == "b");
    BOOST_TEST(std::holds_alternative<StoreWatch>(key.next(now + 1s)->operation));
}

BOOST_AUTO_TEST_SUITE_END()
