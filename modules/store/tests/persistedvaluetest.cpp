#include <lagoonroute/store/persistedvalue.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };

PersistedValue persistedValue()
{
    return PersistedValue("key", StorePurpose::Contact, 7, 1);
}

StoreReply reply(StoreStatus status, const std::string &value = "", StoreVersion version = 0)
{
    return StoreReply{ .number = 7, .status = status, .entry = { value, version } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PersistedValueTest)

BOOST_AUTO_TEST_CASE(ReadsOnceThenWritesChangedValues)
{
    PersistedValue persisted = persistedValue();
    BOOST_TEST(std::holds_alternative<StoreRead>(persisted.next(start)->operation));
    BOOST_TEST(*persisted.handle(reply(StoreStatus::Ok, "old", 5), start) == "old");
    BOOST_TEST(!persisted.next(start).has_value());
    persisted.set("old");
    BOOST_TEST(!persisted.next(start).has_value());
    persisted.set("new");
    const auto call = persisted.next(start);
    BOOST_TEST(std::get<StoreSwap>(call->operation).value == "new");
    BOOST_TEST(std::get<StoreSwap>(call->operation).expectedVersion == 5U);
    persisted.set("newer"); // while the swap is pending
    BOOST_TEST(!persisted.handle(reply(StoreStatus::Ok, "", 6), start).has_value());
    const auto next = persisted.next(start);
    BOOST_TEST(std::get<StoreSwap>(next->operation).value == "newer");
    BOOST_TEST(std::get<StoreSwap>(next->operation).expectedVersion == 6U);
}

BOOST_AUTO_TEST_CASE(LostAnswerCausesReadWithoutSecondWrite)
{
    PersistedValue persisted = persistedValue();
    persisted.next(start);
    BOOST_TEST(!persisted.handle(reply(StoreStatus::NotFound), start).has_value());
    persisted.set("new");
    persisted.next(start);
    persisted.handle(reply(StoreStatus::Unknown), start);
    BOOST_TEST(!persisted.next(start).has_value());
    const Instant later = *persisted.nextWake();
    BOOST_TEST(std::holds_alternative<StoreRead>(persisted.next(later)->operation));
    // The read shows that the swap was applied.
    persisted.handle(reply(StoreStatus::Ok, "new", 9), later);
    BOOST_TEST(!persisted.next(later).has_value());
    BOOST_TEST(!persisted.nextWake().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
