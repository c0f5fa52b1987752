#include "deployment.h"

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

DirectSimulation::Options singleAgent()
{
    DirectSimulation::Options options;
    options.entries = 1;
    options.agents = 1;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RecoveryTest)

// All hosts lose power, and the upstreams report again one after the other. While only a few of them had reported, an entry took
// their rate for the rate of the whole service, and refused jobs for an expected wait that the next upstreams would have shortened.
BOOST_AUTO_TEST_CASE(JobsWaitForReturningUpstreamsAfterPowerLoss)
{
    Deployment deployment;
    DirectSimulation &simulation = deployment.simulation;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        simulation.killEntry(entry, 1200ms);
    }
    for (std::size_t agent = 0; agent < 11; ++agent) {
        simulation.killAgent(agent, 1200ms);
        simulation.crashUpstream(agent, 1250ms + (agent * 50ms));
    }
    simulation.runFor(1210ms);
    const std::size_t before = simulation.submissions().size();
    Workload workload(simulation, bookingKinds(), 3, 7);
    workload.setLoad(0.8);
    workload.run(3s);
    simulation.runFor(4s);
    const WorkloadResult result = resultOf(simulation);
    BOOST_TEST(before == 0U);
    BOOST_TEST(result.unanswered == 0U);
    // The last upstream is back 0.6 s after the load begins, so earlier jobs wait no longer than that.
    BOOST_TEST(result.notRun <= result.submitted / 100, result.notRun << " of " << result.submitted << " jobs were refused");
    deployment.checkNoViolation();
}

BOOST_AUTO_TEST_CASE(JobWithLabelWaitsUntilUpstreamWithLabelIsAnnounced)
{
    DirectEntryCore core(DirectEntryCore::Options().withNode("entry", "10.0.0.1:1"));
    EntryActions actions;
    Instant now(100s);
    RouteRule rule;
    rule.name = "hold";
    rule.service = "booking";
    rule.timeout = 3s;
    rule.stretch = 1.6;
    const auto identify = [&](LinkId link, const std::string &name, const std::string &label) {
        core.openLink(link, now, actions);
        core.receive(link, AgentHello{ name, "plateau", 1 }, now, actions);
        core.receive(link, AgentHeartbeat{ now.time_since_epoch().count() }, now, actions);
        core.receive(link, AgentOffer{ true, "booking", { 64'000, 1024, 0 }, { label } }, now, actions);
        core.receive(link, AgentFreeCapacity{ { 64'000, 1024, 0 }, 0, false }, now, actions);
    };
    const auto answers = [&] {
        return std::count_if(actions.begin(), actions.end(), [](const EntryAction &action) { return std::holds_alternative<AnswerRequest>(action); });
    };
    const auto jobFor = [](const std::string &id, const std::string &label) {
        DirectJob job;
        job.id = id;
        DirectStep step;
        step.count = 1;
        step.need = { 6000, 64, 0 };
        step.estimate = 900ms;
        step.requiredLabel = label;
        job.steps.push_back(step);
        return job;
    };
    core.handleTimers(now, actions);
    identify(1, "agent-1", "a");
    core.submit(ReceivedSubmission{ 1, now, 3s }, rule, jobFor("job-1", "b"), now, actions);
    core.submit(ReceivedSubmission{ 2, now, 3s }, rule, jobFor("job-2", "c"), now, actions);
    BOOST_TEST(answers() == 0);
    now += 100ms;
    identify(2, "agent-2", "b");
    core.handleTimers(now, actions);
    BOOST_TEST(std::any_of(actions.begin(), actions.end(), [](const EntryAction &action) {
        const auto *send = std::get_if<SendOnLink>(&action);
        return send != nullptr && send->link == 2 && std::holds_alternative<StartTasks>(send->message);
    }));
    now += 400ms; // longer than the settle time since the last agent appeared
    core.handleTimers(now, actions);
    BOOST_REQUIRE(answers() == 1);
    const auto refused = std::find_if(actions.begin(), actions.end(), [](const EntryAction &action) { return std::holds_alternative<AnswerRequest>(action); });
    BOOST_TEST(std::get<AnswerRequest>(*refused).request == 2U);
    BOOST_TEST(std::get<AnswerRequest>(*refused).answer.reason == "never-runnable");
}

// Every connection of an entry is reset. Jobs that arrive until its agents are linked again wait for them.
BOOST_AUTO_TEST_CASE(JobsWaitForAgentsWhoseLinksWereReset)
{
    Deployment deployment(singleAgent());
    deployment.simulation.resetLinks(0);
    const std::size_t position = deployment.simulation.submit(0, "reprice", deployment.makeJob(2, 200ms), 200ms, 3s);
    deployment.simulation.runFor(2s);
    BOOST_TEST((deployment.submission(position).answer.verdict == DirectVerdict::Completed), deployment.submission(position).answer.reason);
    deployment.checkNoViolation();
}

// No agent comes back: jobs are refused after the time that links need, not at their client accounts' deadline.
BOOST_AUTO_TEST_CASE(JobsAreRefusedWhenNoAgentReturns)
{
    Deployment deployment(singleAgent());
    deployment.simulation.killAgent(0, 60s);
    deployment.simulation.runFor(10ms);
    const std::size_t position = deployment.simulation.submit(0, "hold", deployment.makeJob(2, 900ms), 900ms, 20s);
    deployment.simulation.runFor(3s);
    const std::size_t later = deployment.simulation.submit(0, "hold", deployment.makeJob(2, 900ms), 900ms, 20s);
    deployment.simulation.runFor(100ms);
    for (const std::size_t job : { position, later }) {
        const DirectSimulation::Submission &submission = deployment.submission(job);
        BOOST_REQUIRE(submission.answeredAt.has_value());
        BOOST_TEST((submission.answer.verdict == DirectVerdict::NotRun));
        BOOST_TEST((*submission.answeredAt - submission.submittedAt <= 2s));
    }
}

BOOST_AUTO_TEST_SUITE_END()
