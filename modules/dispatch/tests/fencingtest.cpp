#include <lagoonroute/dispatch/dispatch.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const ShardKey shard{ "booking", 0 };
const NodeId home = NodeId::fromName("home");
const NodeId mirror = NodeId::fromName("mirror");
const NodeId worker = NodeId::fromName("worker");
const NodeId entry = NodeId::fromName("entry");
const JobId job = JobId::fromSubmission("booking", "fatou", "1");
const Instant start{ seconds(100) };

template <typename Message, typename Action>
std::vector<Message> sent(const std::vector<Action> &actions)
{
    std::vector<Message> found;
    for (const Action &action : actions) {
        const auto *send = std::get_if<SendMessage>(&action);
        const auto *message = send == nullptr ? nullptr : std::get_if<Message>(&send->message);
        if (message != nullptr) {
            found.push_back(*message);
        }
    }
    return found;
}

SubmitJob submission(std::uint64_t sequence)
{
    SubmitJob message{ .request = { entry, 1, sequence }, .shard = shard, .epoch = 1, .job = job };
    message.content.service = "booking";
    message.content.timeRemaining = seconds(10);
    message.content.tasks.resize(1);
    return message;
}

/** A home with a synchronised mirror and one worker. */
struct HomeFixture
{
    HomeFixture()
    {
        handle(WorkerChanged{ "booking", WorkerState{ .node = worker, .slots = 2, .connections = 2 } });
        acknowledge();
    }

    void handle(const AgentEvent &event)
    {
        actions.clear();
        core.handle(event, now, actions);
        for (const UpdateMirror &update : sent<UpdateMirror>(actions)) {
            recorded = std::max(recorded, update.sequence + update.records.size());
        }
    }

    void acknowledge()
    {
        handle(MessageReceived{ mirror, MirrorUpdated{ shard, 1, recorded, true } });
    }

    Instant now = start;
    std::uint64_t recorded = 0;
    std::vector<AgentAction> actions;
    HomeCore core{ home, ShardView{ shard, 1, home, mirror }, ServiceRules::Builder("booking").build(), 1 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(FencingTest)

BOOST_AUTO_TEST_CASE(ExecutorRefusesStartOfReplacedHome)
{
    ExecutorCore core(worker);
    std::vector<AgentAction> actions;
    core.handle(UpstreamAnnounced{ "booking", 2, 2, {} }, start, actions);
    core.handle(MessageReceived{ mirror, RecoverTasks{ shard, 2, { { job, 0 } } } }, start, actions);
    core.handle(MessageReceived{ home, StartTask{ .shard = shard, .epoch = 1, .task = { job, 0 }, .startWithin = seconds(5), .attempt = 1 } }, start, actions);
    core.handle(MessageReceived{ home, StartTask{ .shard = shard, .epoch = 1, .task = { job, 1 }, .startWithin = seconds(5), .attempt = 1 } }, start, actions);
    BOOST_TEST(core.running() == 0U);
    BOOST_TEST(sent<TaskRefused>(actions).size() == 2U);
}

BOOST_AUTO_TEST_CASE(MirrorRefusesEpochBelowProposalOrView)
{
    MirrorCore core(shard);
    std::vector<AgentAction> actions;
    const UpdateMirror update{ .shard = shard, .epoch = 1, .records = { MirrorProbe{} }, .complete = true };
    core.update(home, update, start, actions);
    core.refuseBelow(2);
    core.update(home, update, start, actions);
    MirrorCore follower(shard);
    follower.changeView(ShardView{ shard, 2, home, mirror });
    follower.update(home, update, start, actions);
    const auto answers = sent<MirrorUpdated>(actions);
    BOOST_REQUIRE(answers.size() == 3U);
    BOOST_TEST(answers.at(0).accepted);
    BOOST_TEST(!answers.at(1).accepted);
    BOOST_TEST(!answers.at(2).accepted);
}

BOOST_AUTO_TEST_CASE(MirrorIsPromotableOnlyWithCompleteCopyOfPreviousEpoch)
{
    MirrorCore core(shard);
    std::vector<AgentAction> actions;
    core.update(home, UpdateMirror{ .shard = shard, .epoch = 1, .records = { JobRecorded{ job, {} } } }, start, actions);
    BOOST_TEST(!core.mayBePromoted(2));
    core.update(home, UpdateMirror{ .shard = shard, .epoch = 1, .sequence = 1, .records = { MirrorProbe{} }, .complete = true }, start, actions);
    BOOST_TEST(core.mayBePromoted(2));
    BOOST_TEST(!core.mayBePromoted(3));
    core.changeView(ShardView{ shard, 2, home, mirror });
    BOOST_TEST(core.mayBePromoted(3));
    core.changeView(ShardView{ shard, 4, home, mirror });
    BOOST_TEST(!core.mayBePromoted(5));
}

BOOST_AUTO_TEST_CASE(EntryIgnoresNotRunAnswerOfReplacedHome)
{
    EntryCore core(entry, 1);
    std::vector<EntryAction> actions;
    core.handle(RulesChanged{ ServiceRules::Builder("booking").build() }, start, actions);
    core.handle(ViewChanged{ ShardView{ shard, 1, home, mirror } }, start, actions);
    core.handle(CallerSubmitted{ .request = 1, .job = job, .content = submission(1).content }, start, actions);
    core.handle(ViewChanged{ ShardView{ shard, 2, mirror, home } }, start, actions);
    BOOST_TEST(sent<SubmitJob>(actions).size() == 2U);
    const JobAnswer refusal = JobAnswer::notRun(Reason::Overloaded, "");
    core.handle(MessageReceived{ home, AnswerRequest{ { entry, 1, 1 }, job, refusal, 1 } }, start, actions);
    BOOST_TEST(core.pending() == 1U);
    core.handle(MessageReceived{ mirror, AnswerRequest{ { entry, 1, 1 }, job, refusal, 2 } }, start, actions);
    BOOST_TEST(core.pending() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RepeatedCopyOfRefusedRequestStaysRefused, HomeFixture)
{
    handle(WorkerRemoved{ "booking", worker, 0 });
    handle(MessageReceived{ entry, submission(1) });
    BOOST_REQUIRE(sent<AnswerRequest>(actions).size() == 1U);
    BOOST_TEST((sent<AnswerRequest>(actions).front().answer.outcome == Outcome::NotRun));
    handle(WorkerChanged{ "booking", WorkerState{ .node = worker, .slots = 2, .connections = 2 } });
    handle(MessageReceived{ entry, submission(1) });
    BOOST_TEST(sent<AnswerRequest>(actions).size() == 1U);
    BOOST_TEST(core.jobCount() == 0U);
    handle(MessageReceived{ entry, submission(2) });
    BOOST_TEST(core.jobCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CancellationBeforeSubmissionCancelsJob, HomeFixture)
{
    handle(MessageReceived{ entry, CancelJob{ { entry, 1, 1 }, shard, 1, job } });
    BOOST_TEST(sent<AnswerRequest>(actions).empty());
    acknowledge();
    BOOST_REQUIRE(sent<AnswerRequest>(actions).size() == 1U);
    handle(MessageReceived{ entry, submission(2) });
    BOOST_REQUIRE(sent<AnswerRequest>(actions).size() == 1U);
    BOOST_TEST((sent<AnswerRequest>(actions).front().answer.reason == Reason::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(StartsWaitForMirrorAfterPause, HomeFixture)
{
    handle(MessageReceived{ entry, submission(1) });
    const std::uint64_t before = recorded;
    now += seconds(3);
    handle(MessageReceived{ mirror, MirrorUpdated{ shard, 1, before, true } });
    BOOST_TEST(sent<StartTask>(actions).empty());
    acknowledge();
    BOOST_TEST(sent<StartTask>(actions).size() == 1U);
}

// A paused home may have been replaced and its own host treated as lost; the next home then answers "worker-lost".
BOOST_AUTO_TEST_CASE(CompleteAnswerWaitsForMirrorAfterPause)
{
    for (const bool isReplaced : { false, true }) {
        HomeFixture fixture;
        fixture.handle(MessageReceived{ entry, submission(1) });
        fixture.acknowledge();
        BOOST_REQUIRE(sent<StartTask>(fixture.actions).size() == 1U);
        fixture.now += seconds(3);
        fixture.handle(MessageReceived{ worker, TaskFinished{ .shard = shard, .epoch = 1, .task = { job, 0 } } });
        BOOST_TEST(sent<AnswerRequest>(fixture.actions).empty());
        fixture.handle(MessageReceived{ entry, submission(2) });
        BOOST_TEST(sent<AnswerRequest>(fixture.actions).empty());
        if (isReplaced) {
            fixture.handle(MessageReceived{ mirror, MirrorUpdated{ shard, 1, 0, false } });
            BOOST_TEST(sent<AnswerRequest>(fixture.actions).empty());
            continue;
        }
        fixture.acknowledge();
        BOOST_REQUIRE(sent<AnswerRequest>(fixture.actions).size() == 2U);
        BOOST_TEST((sent<AnswerRequest>(fixture.actions).front().answer.outcome == Outcome::Complete));
    }
}

BOOST_AUTO_TEST_CASE(HomeWithoutMirrorStartsOnlyWithinLease)
{
    HomeCore core(home, ShardView{ shard, 1, home, NodeId{} }, ServiceRules::Builder("booking").build(), 1);
    std::vector<AgentAction> actions;
    core.handle(WorkerChanged{ "booking", WorkerState{ .node = worker, .slots = 2, .connections = 2 } }, start, actions);
    core.handle(MessageReceived{ entry, submission(1) }, start, actions);
    BOOST_REQUIRE(sent<AnswerRequest>(actions).size() == 1U);
    BOOST_TEST((sent<AnswerRequest>(actions).front().answer.reason == Reason::NoView));
    core.handle(StartsAllowed{ shard, true, start + seconds(1) }, start, actions);
    core.handle(MessageReceived{ entry, submission(2) }, start, actions);
    BOOST_TEST(sent<StartTask>(actions).size() == 1U);
    SubmitJob late = submission(3);
    late.job = JobId::fromSubmission("booking", "fatou", "2");
    core.handle(MessageReceived{ entry, late }, start + seconds(2), actions);
    BOOST_TEST(sent<StartTask>(actions).size() == 1U);
}

BOOST_AUTO_TEST_CASE(HomeWithoutStartPermissionWaitsDespiteMirrorAcknowledgement)
{
    for (const bool byTime : { false, true }) {
        HomeFixture fixture;
        fixture.handle(byTime ? StartsAllowed{ shard, true, start + milliseconds(1) } : StartsAllowed{ shard, false, std::nullopt });
        fixture.now += milliseconds(2);
        fixture.handle(MessageReceived{ entry, submission(1) });
        BOOST_TEST(sent<StartTask>(fixture.actions).empty());
        fixture.acknowledge();
        BOOST_TEST(sent<StartTask>(fixture.actions).empty());
        fixture.handle(StartsAllowed{ shard, true, std::nullopt });
        BOOST_TEST(sent<StartTask>(fixture.actions).size() == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
