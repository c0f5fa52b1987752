#include <lagoonroute/dispatch/dispatch.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(PathTest)

BOOST_AUTO_TEST_CASE(ResubmissionDoesNotRestartTasks)
{
    const NodeId agent = NodeId::fromName("agent");
    const NodeId entry = NodeId::fromName("entry");
    const Instant now{};
    AgentCore core(agent, 1);
    std::vector<AgentAction> actions;
    core.handle(RulesChanged{ ServiceRules::Builder("booking").build() }, now, actions);
    core.handle(ViewChanged{ ShardView{ { "booking", 0 }, 1, agent, NodeId{} } }, now, actions);
    core.handle(StartsAllowed{ { "booking", 0 } }, now, actions);
    core.handle(UpstreamAnnounced{ "booking", 8, 64, {} }, now, actions);
    core.handle(WorkerChanged{ "booking", WorkerState{ .node = agent, .slots = 8, .connections = 64 } }, now, actions);

    SubmitJob submit{ .request = { entry, 1, 1 }, .shard = { "booking", 0 }, .epoch = 1, .job = JobId::fromSubmission("booking", "fatou", "1") };
    submit.content.service = "booking";
    submit.content.timeRemaining = std::chrono::seconds(10);
    submit.content.tasks.resize(1);
    core.handle(MessageReceived{ entry, submit }, now, actions);
    submit.request.sequence = 2;
    core.handle(MessageReceived{ entry, submit }, now, actions);
    BOOST_TEST(actions.size() == 1U);
    BOOST_TEST(std::holds_alternative<CallUpstream>(actions.at(0)));

    core.handle(UpstreamReplied{ { submit.job, 0 }, { 200, "held" }, std::chrono::milliseconds(50) }, now, actions);
    BOOST_TEST(actions.size() == 3U);
    for (std::size_t index = 1; index < actions.size(); ++index) {
        const auto &answer = std::get<AnswerRequest>(std::get<SendMessage>(actions.at(index)).message).answer;
        BOOST_TEST((answer.outcome == Outcome::Complete));
        BOOST_TEST(answer.results.at(0).body == "held");
    }
}

BOOST_AUTO_TEST_SUITE_END()
