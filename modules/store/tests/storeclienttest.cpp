#include <lagoonroute/store/store.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(StoreClientTest)

namespace
{

constexpr Instant start{ std::chrono::seconds(100) };

StoreCall readCall(std::uint64_t number)
{
    return { number, StorePurpose::View, StoreRead{ "key" } };
}

StoreCall swapCall(std::uint64_t number, std::string value)
{
    return { number, StorePurpose::View, StoreSwap{ "key", std::move(value), 0 } };
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryCallIsAnsweredOnce)
{
    StoreClientCore core(StoreClientCore::Options().withReads(1, 2));
    StoreClientCore::Actions actions;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        core.submit(readCall(number), start, actions);
    }
    BOOST_TEST(actions.calls.size() == 2U);
    BOOST_TEST(actions.replies.size() == 1U);
    BOOST_TEST((actions.replies.at(0).status == StoreStatus::Rejected));

    core.handleTimers(start + std::chrono::seconds(2), actions);
    BOOST_TEST(actions.replies.size() == 3U);
    BOOST_TEST((actions.replies.at(2).status == StoreStatus::Unknown));
    core.handle(StoreReply{ .number = actions.calls.at(0).number, .status = StoreStatus::Ok }, start, actions);
    BOOST_TEST(actions.replies.size() == 3U);
    BOOST_TEST((core.counts(StorePurpose::View) == StoreCallCounts{ 2, 0, 2, 1 }));
}

BOOST_AUTO_TEST_CASE(ValueAboveSizeLimitIsNotSent)
{
    StoreClientCore core({});
    StoreClientCore::Actions actions;
    core.submit(swapCall(1, std::string(maxStoreValueBytes + 1, 'x')), start, actions);
    BOOST_TEST(actions.calls.empty());
    core.submit(swapCall(2, std::string(maxStoreValueBytes, 'x')), start, actions);
    BOOST_TEST(actions.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CircuitOpensAfterFailuresAndClosesAfterTrial)
{
    const StoreClientCore::Options options;
    StoreClientCore core(options);
    StoreClientCore::Actions actions;
    Instant now = start;
    for (std::uint64_t number = 0; number < options.failuresToOpen; ++number) {
        core.submit(readCall(number), now, actions);
        now += options.timeout;
        core.handleTimers(now, actions);
    }
    BOOST_TEST((core.circuit() == CircuitState::Open));
    const std::size_t sent = actions.calls.size();
    core.submit(readCall(10), now, actions);
    BOOST_TEST(actions.calls.size() == sent);

    now += options.firstBackoff;
    core.submit(readCall(11), now, actions);
    core.submit(readCall(12), now, actions);
    BOOST_TEST(actions.calls.size() == sent + 1);
    BOOST_TEST((core.circuit() == CircuitState::HalfOpen));
    core.handle(StoreReply{ .number = actions.calls.back().number, .status = StoreStatus::NotFound }, now, actions);
    BOOST_TEST((core.circuit() == CircuitState::Closed));
}

BOOST_AUTO_TEST_CASE(LeaseWithoutRenewalIsGrantedToOtherHolder)
{
    StoreModel store;
    const auto grant = [&store](std::uint64_t number, const std::string &holder, Instant now) {
        store.submit(1, { number, StorePurpose::Lease, StoreLease{ "lease", holder, std::chrono::seconds(5) } }, now);
        return store.poll(now).at(0).reply;
    };
    BOOST_TEST((grant(1, "first", start).status == StoreStatus::Ok));
    BOOST_TEST((grant(2, "second", start + std::chrono::seconds(4)).status == StoreStatus::Conflict));
    BOOST_TEST((grant(3, "first", start + std::chrono::seconds(4)).status == StoreStatus::Ok));
    BOOST_TEST((grant(4, "second", start + std::chrono::seconds(9)).status == StoreStatus::Ok));
    BOOST_TEST((grant(5, "first", start + std::chrono::seconds(9)).status == StoreStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(StoreRejectsWritesAboveRateLimit)
{
    StoreModel store;
    store.setFaults({ .writesPerSecond = 2 });
    const auto write = [&store](std::uint64_t number, Instant now) {
        store.submit(1, { number, StorePurpose::View, StoreSwap{ std::to_string(number), "value", 0 } }, now);
        return store.poll(now).at(0).reply.status;
    };
    BOOST_TEST((write(1, start) == StoreStatus::Ok));
    BOOST_TEST((write(2, start) == StoreStatus::Ok));
    BOOST_TEST((write(3, start) == StoreStatus::Rejected));
    BOOST_TEST(store.entry("3").version == 0U);
    BOOST_TEST((write(3, start + std::chrono::seconds(1)) == StoreStatus::Ok));
}

BOOST_AUTO_TEST_CASE(SwapOutcomeIsDeterminedByMarkAfterLostAnswers)
{
    // Two writers compete for one key of a store that loses calls and answers. Each value retains the marks of all applied writes.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        StoreModel store(seed);
        store.setFaults({ .requestLoss = 0.3, .answerLoss = 0.4 });
        std::uint64_t applied = 0;
        for (std::uint64_t write = 1; write <= 10; ++write) {
            const StoreEntry before = store.entry("key");
            std::vector<MarkedSwap> swaps;
            for (const char *writer : { "first", "second" }) {
                const std::string mark = makeWriteMark(writer, seed, write);
                swaps.emplace_back(StoreSwap{ "key", before.value + mark, before.version }, mark);
            }
            for (int attempt = 0; attempt < 200; ++attempt) {
                MarkedSwap &swap = swaps.at(static_cast<std::size_t>(attempt % 2));
                if (swap.state() != MarkedSwap::State::Swapping) {
                    continue;
                }
                store.submit(1, { 1, StorePurpose::View, swap.nextCall() }, start);
                const auto answers = store.poll(start);
                swap.handle(answers.empty() ? StoreReply{ .status = StoreStatus::Unknown } : answers.at(0).reply);
            }
            const auto wins = std::count_if(swaps.begin(), swaps.end(), [](const MarkedSwap &swap) { return swap.state() == MarkedSwap::State::Applied; });
            BOOST_TEST(wins == 1);
            applied += static_cast<std::uint64_t>(wins);
        }
        BOOST_TEST(store.entry("key").version == applied);
    }
}

BOOST_AUTO_TEST_CASE(SwapWithoutAnswerIsFollowedByRead)
{
    MarkedSwap swap({ "key", "value", 0 }, "mark");
    swap.handle(StoreReply{ .status = StoreStatus::Unknown });
    BOOST_TEST(std::holds_alternative<StoreRead>(swap.nextCall()));
}

BOOST_AUTO_TEST_CASE(MemoryStoreReportsWriteToWatchOfOtherClient)
{
    const auto shared = std::make_shared<SharedStore>();
    WakeSignal signal;
    MemoryStore writerPort(shared, signal);
    MemoryStore watcherPort(shared, signal);
    StoreClient<MemoryStore> writer({}, writerPort);
    StoreClient<MemoryStore> watcher({}, watcherPort);
    const Instant now = MonotonicClock::now();
    watcher.submit({ 7, StorePurpose::Configuration, StoreWatch{ "key", 0, std::chrono::hours(1) } }, now);
    writer.submit(swapCall(1, "value"), now);
    writer.drain(now, [](const StoreReply &reply) { BOOST_TEST((reply.status == StoreStatus::Ok)); });
    std::size_t seen = 0;
    watcher.drain(now, [&seen](const StoreReply &reply) {
        ++seen;
        BOOST_TEST(reply.number == 7U);
        BOOST_TEST((reply.purpose == StorePurpose::Configuration));
        BOOST_TEST(reply.entry.value == "value");
    });
    BOOST_TEST(seen == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
