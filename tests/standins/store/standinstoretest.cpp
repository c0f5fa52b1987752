#include "standinstore.h"

#include <lagoonroute/base/errors.h>
#include <lagoonroute/http/httpstore.h>
#include <lagoonroute/http/storeprotocol.h>
#include <lagoonroute/store/markedswap.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(StandInStoreTest)

namespace
{

struct ServedStore
{
    WakeSignal signal;
    StandInStore server{ { "127.0.0.1", 0 }, 1 };
    HttpStore store{ HttpStore::Options().withServer(server.address()).withTimeout(std::chrono::seconds(30)), signal };
    HttpStore shortTimeoutStore{ HttpStore::Options().withServer(server.address()).withTimeout(std::chrono::milliseconds(300)), signal };
    HttpClient control;

    StoreReply call(const StoreOperation &operation)
    {
        return call(store, operation);
    }

    StoreReply call(HttpStore &port, const StoreOperation &operation)
    {
        BOOST_REQUIRE(port.submit({ 1, StorePurpose::View, operation }));
        return wait(port);
    }

    StoreReply wait(HttpStore &port)
    {
        std::optional<StoreReply> reply;
        while (!reply) {
            port.drain([&reply](StoreReply &&arrived) { reply = std::move(arrived); });
            if (!reply) {
                signal.waitUntil(std::nullopt);
            }
        }
        return *reply;
    }

    std::string setFaults(const std::string &faults)
    {
        const auto result = control.callAndWait(server.address(), { .method = "POST", .target = "/control", .body = faults }, std::chrono::seconds(10));
        return result.response.value().body;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ServesReadsSwapsLeasesAndWatches, ServedStore)
{
    BOOST_TEST((call(StoreRead{ "k" }).status == StoreStatus::NotFound));
    const StoreReply written = call(StoreSwap{ "k", "one \"quoted\"", 0 });
    BOOST_TEST((written.status == StoreStatus::Ok));
    const StoreReply conflict = call(StoreSwap{ "k", "two", 0 });
    BOOST_TEST((conflict.status == StoreStatus::Conflict));
    BOOST_TEST((conflict.entry == written.entry));
    BOOST_TEST((call(StoreLease{ "l", "a", std::chrono::seconds(60) }).status == StoreStatus::Ok));
    BOOST_TEST((call(StoreLease{ "l", "b", std::chrono::seconds(60) }).status == StoreStatus::Conflict));
    BOOST_TEST((call(StoreWatch{ "k", written.entry.version, std::chrono::milliseconds(20) }).status == StoreStatus::Unchanged));

    BOOST_REQUIRE(store.submit({ 7, StorePurpose::View, StoreWatch{ "k", written.entry.version, std::chrono::minutes(1) } }));
    BOOST_REQUIRE(store.submit({ 8, StorePurpose::View, StoreSwap{ "k", "three", written.entry.version } }));
    std::map<std::uint64_t, StoreReply> replies;
    for (;;) {
        store.drain([&replies](StoreReply &&arrived) { replies[arrived.number] = arrived; });
        if (replies.size() == 2) {
            break;
        }
        signal.waitUntil(std::nullopt);
    }
    BOOST_TEST(replies.at(7).entry.value == "three");
}

BOOST_FIXTURE_TEST_CASE(LostAnswerIsUnknownAndResolvedByReading, ServedStore)
{
    setFaults(R"({"loseAnswers": 1})");
    const std::string mark = makeWriteMark("writer", 1, 1);
    MarkedSwap swap({ "k", "value " + mark, 0 }, mark);
    BOOST_TEST((swap.handle(call(shortTimeoutStore, swap.nextCall())) == MarkedSwap::State::Swapping));
    while (swap.state() == MarkedSwap::State::Swapping) {
        swap.handle(call(swap.nextCall()));
    }
    BOOST_TEST((swap.state() == MarkedSwap::State::Applied));
    BOOST_TEST(call(StoreRead{ "k" }).entry.value == "value " + mark);
}

BOOST_FIXTURE_TEST_CASE(ReadIsUnknownDuringOutageAndSucceedsAfterwards, ServedStore)
{
    setFaults(R"({"down": true})");
    BOOST_TEST((call(shortTimeoutStore, StoreRead{ "k" }).status == StoreStatus::Unknown));
    setFaults("{}");
    BOOST_TEST((call(StoreRead{ "k" }).status == StoreStatus::NotFound));
}

BOOST_AUTO_TEST_CASE(RejectsMalformedCallsAndAnswers)
{
    for (const char *body : { "", "[]", "{}", R"({"key":1})", R"({"key":"k","value":"v","expectedVersion":"-1"})" }) {
        BOOST_CHECK_THROW(decodeStoreCall({ .method = "POST", .target = "/v1/swap", .body = body }), MalformedMessage);
        BOOST_CHECK_THROW(decodeStoreReply({ .status = 200, .body = body }), MalformedMessage);
    }
    BOOST_CHECK_THROW(decodeStoreReply({ .status = 500 }), MalformedMessage);
    BOOST_TEST((decodeStoreReply(encodeStoreReply({ .status = StoreStatus::Rejected })).status == StoreStatus::Rejected));
}

BOOST_AUTO_TEST_SUITE_END()
