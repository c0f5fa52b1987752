#include <lagoonroute/store/keptvalue.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };

KeptValue keptValue()
{
    return KeptValue("key", StorePurpose::Contact, 7, 1);
}

StoreReply reply(StoreStatus status, const std::string &value = "", StoreVersion version = 0)
{
    return StoreReply{ .number = 7, .status = status, .entry = { value, version } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeptValueTest)

BOOST_AUTO_TEST_CASE(ReadsOnceAndWritesWhatDiffers)
{
    KeptValue kept = keptValue();
    BOOST_TEST(std::holds_alternative<StoreRead>(kept.next(start)->operation));
    BOOST_TEST(*kept.handle(reply(StoreStatus::Ok, "old", 5), start) == "old");
    BOOST_TEST(!kept.next(start).has_value());
    kept.set("old");
    BOOST_TEST(!kept.next(start).has_value());
    kept.set("new");
    const auto call = kept.next(start);
    BOOST_TEST(std::get<StoreSwap>(call->operation).value == "new");
    BOOST_TEST(std::get<StoreSwap>(call->operation).expectedVersion == 5U);
    kept.set("newer"); // while the swap is under way
    BOOST_TEST(!kept.handle(reply(StoreStatus::Ok, "", 6), start).has_value());
    const auto next = kept.next(start);
    BOOST_TEST(std::get<StoreSwap>(next->operation).value == "newer");
    BOOST_TEST(std::get<StoreSwap>(next->operation).expectedVersion == 6U);
}

BOOST_AUTO_TEST_CASE(ReadsAfterALostAnswerAndDoesNotWriteTwice)
{
    KeptValue kept = keptValue();
    kept.next(start);
    BOOST_TEST(!kept.handle(reply(StoreStatus::NotFound), start).has_value());
    kept.set("new");
    kept.next(start);
    kept.handle(reply(StoreStatus::Unknown), start);
    BOOST_TEST(!kept.next(start).has_value());
    const Instant later = *kept.nextWake();
    BOOST_TEST(std::holds_alternative<StoreRead>(kept.next(later)->operation));
    // The swap had taken effect.
    kept.handle(reply(StoreStatus::Ok, "new", 9), later);
    BOOST_TEST(!kept.next(later).has_value());
    BOOST_TEST(!kept.nextWake().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
