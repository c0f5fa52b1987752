#include <lagoonroute/dispatch/dispatch.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

const ShardKey shard{ "booking", 0 };
const NodeId home = NodeId::fromName("home");
const NodeId entry = NodeId::fromName("entry");
const Instant start{ seconds(100) };
const WallTime wallStart{ std::chrono::hours(500'000) };

/** A home without a mirror, with one worker and the given records. */
struct Fixture
{
    explicit Fixture(ShardRecords records = {})
        : core(home, ShardView{ shard, 2, home, NodeId{} }, ServiceRules::Builder("booking").build(), 1, std::move(records), start)
    {
        std::vector<AgentAction> actions;
        core.handle(WallClockRead{ wallStart }, start, actions);
        core.handle(StartsAllowed{ shard }, start, actions);
        core.handle(WorkerChanged{ "booking", WorkerState{ .node = home, .slots = 8, .connections = 8 } }, start, actions);
    }

    /** Submits under a new key and returns the answer given at once, or nothing when the job is accepted. */
    std::optional<JobAnswer> submit(std::optional<Duration> keyAge, Instant now)
    {
        ++sequence;
        SubmitJob message{ .request = { entry, 1, sequence }, .shard = shard, .epoch = 2 };
        message.job = JobId::fromSubmission("booking", "fatou", std::to_string(sequence));
        message.content.timeRemaining = seconds(10);
        message.content.tasks.resize(1);
        if (keyAge) {
            message.content.keyTime = wallStart + std::chrono::duration_cast<milliseconds>(now - start - *keyAge);
        }
        std::vector<AgentAction> actions;
        core.handle(MessageReceived{ entry, message }, now, actions);
        for (const AgentAction &action : actions) {
            const auto *send = std::get_if<SendMessage>(&action);
            const auto *answer = send == nullptr ? nullptr : std::get_if<AnswerRequest>(&send->message);
            if (answer != nullptr) {
                return answer->answer;
            }
        }
        return std::nullopt;
    }

    HomeCore core;
    std::uint64_t sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeyTest)

BOOST_AUTO_TEST_CASE(KeyTimeOutsideRetentionOrInFutureIsRefused)
{
    struct Case
    {
        std::optional<Duration> age;
        std::optional<Reason> refusal;
    };
    const Case cases[] = { { std::nullopt, std::nullopt },
                           { minutes(14), std::nullopt },
                           { minutes(16), Reason::KeyExpired },
                           { -minutes(4), std::nullopt },
                           { -minutes(6), Reason::InvalidRequest } };
    Fixture fixture;
    for (const Case &entryCase : cases) {
        const auto answer = fixture.submit(entryCase.age, start);
        const auto reason = answer ? std::optional(answer->reason) : std::nullopt;
        BOOST_TEST((reason == entryCase.refusal));
    }
}

BOOST_AUTO_TEST_CASE(OnlyNewerKeysRunAfterRecordsLoss)
{
    Fixture fixture(ShardRecords{ .lostAt = start });
    const auto unknown = fixture.submit(std::nullopt, start + minutes(10));
    BOOST_REQUIRE(unknown.has_value());
    BOOST_TEST((unknown->outcome == Outcome::Failed && unknown->reason == Reason::HomeLost));
    BOOST_TEST(fixture.submit(minutes(6), start + minutes(10)).has_value());
    BOOST_TEST(!fixture.submit(minutes(4), start + minutes(10)).has_value());
    BOOST_TEST(!fixture.submit(std::nullopt, start + minutes(21)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
