#include "harness/faultproxy.h"
#include "harness/invariantchecker.h"

#include <lagoonroute/http/httpclient.h>
#include <lagoonroute/http/httpserver.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>

using namespace lagoonroute;
using namespace lagoonroute::harness;
using namespace std::chrono_literals;

namespace
{

Instant at(std::chrono::milliseconds time)
{
    return Instant(time);
}

ReceivedAnswer complete(const std::string &key, std::vector<std::uint64_t> numbers)
{
    ReceivedAnswer answer{ .status = 200, .outcome = "complete", .body = key };
    for (std::size_t task = 0; task < numbers.size(); ++task) {
        answer.results.push_back(ReceivedResult{ key, task, numbers[task] });
    }
    return answer;
}

/** Returns a run that meets every guarantee: two jobs complete, one failed, one was not run, and one upstream withdrew. */
Evidence validRun()
{
    Evidence run;
    run.starts = { { "a", 0, "up-0", 0, at(10ms), at(20ms) },
                   { "a", 1, "up-1", 1, at(11ms), at(20ms) },
                   { "b", 0, "up-0", 2, at(30ms), at(40ms) },
                   { "f", 0, "up-1", 3, at(50ms), std::nullopt } };
    run.calls = { { "a", 2, true, 0, at(1ms), at(25ms), true, complete("a", { 0, 1 }) },
                  { "a", 2, true, 1, at(2ms), at(26ms), true, complete("a", { 0, 1 }) },
                  { "b", 1, false, 0, at(28ms), at(45ms), true, complete("b", { 2 }) },
                  { "f", 1, true, 0, at(46ms), at(70ms), true, ReceivedAnswer{ .status = 502, .outcome = "failed", .started = { 0 } } },
                  { "n", 1, true, 0, at(60ms), at(61ms), true, ReceivedAnswer{ .status = 503, .outcome = "not-run" } } };
    run.withdrawals = { { "up-0", at(100ms) } };
    run.revisions = { { "agent-0", 1 }, { "agent-0", 2 } };
    run.acceptedRevision = 2;
    return run;
}

/** A change to a valid run, and the guarantee whose violation the checker must report. */
struct FalsifiedRun
{
    const char *name;
    Guarantee guarantee;
    void (*falsify)(Evidence &);
};

const std::vector<FalsifiedRun> falsifiedRuns{
    { "second start",
      Guarantee::StartedAtMostOnce,
      [](Evidence &run) {
          run.starts.push_back({ "a", 1, "up-0", 4, at(15ms), at(16ms) });
      } },
    { "second non-idempotent start",
      Guarantee::NonIdempotentOnce,
      [](Evidence &run) {
          run.starts.push_back({ "b", 0, "up-1", 4, at(35ms), at(36ms) });
      } },
    { "missing result", Guarantee::CompleteOrFailed, [](Evidence &run) { run.calls[0].answer->results.pop_back(); } },
    { "result without start", Guarantee::CompleteOrFailed, [](Evidence &run) { run.calls[2].answer->results[0].number = 9; } },
    { "result before end of task", Guarantee::CompleteOrFailed, [](Evidence &run) { run.starts[2].endedAt.reset(); } },
    { "failed without naming started task", Guarantee::CompleteOrFailed, [](Evidence &run) { run.calls[3].answer->started.clear(); } },
    { "unknown outcome", Guarantee::CompleteOrFailed, [](Evidence &run) { run.calls[2].answer->outcome = "partial"; } },
    { "result of another job",
      Guarantee::OwnResults,
      [](Evidence &run) {
          run.calls[2].answer->results[0] = { "a", 0, 0 };
      } },
    { "results swapped", Guarantee::OwnResults, [](Evidence &run) { std::swap(run.calls[0].answer->results[0], run.calls[0].answer->results[1]); } },
    { "not run, but started",
      Guarantee::NotRunStartedNothing,
      [](Evidence &run) {
          run.starts.push_back({ "n", 0, "up-1", 4, at(65ms), at(66ms) });
      } },
    { "not run, but started before",
      Guarantee::NotRunStartedNothing,
      [](Evidence &run) {
          run.calls.push_back({ "b", 1, false, 1, at(35ms), at(36ms), true, ReceivedAnswer{ .status = 503, .outcome = "not-run" } });
      } },
    { "task after withdrawal",
      Guarantee::NoStartAfterWithdrawal,
      [](Evidence &run) {
          run.starts.push_back({ "l", 0, "up-0", 4, at(9s), at(10s) });
          run.calls.push_back({ "l", 1, true, 0, at(8s), at(11s), true, complete("l", { 4 }) });
      } },
    { "request interrupted by planned stop",
      Guarantee::GracefulStop,
      [](Evidence &run) {
          run.onlyPlannedStops = true;
          run.calls.erase(run.calls.begin() + 3, run.calls.end());
          run.calls[1].answer.reset();
      } },
    { "revision reverts",
      Guarantee::ConfigurationInForce,
      [](Evidence &run) {
          run.revisions.push_back({ "agent-0", 1 });
      } },
    { "revision not in force",
      Guarantee::ConfigurationInForce,
      [](Evidence &run) {
          run.revisions.push_back({ "agent-1", 1 });
      } },
    { "no answer", Guarantee::AnsweredConsistently, [](Evidence &run) { run.calls[4].answer.reset(); } },
    { "two different answers", Guarantee::AnsweredConsistently, [](Evidence &run) { run.calls[1].answer->body = "other"; } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(HarnessTest)

BOOST_AUTO_TEST_CASE(AcceptsValidRun)
{
    BOOST_TEST(describe(InvariantChecker(validRun()).check()) == "");
}

BOOST_AUTO_TEST_CASE(ReportsEachFalsifiedRun)
{
    for (const FalsifiedRun &falsified : falsifiedRuns) {
        Evidence run = validRun();
        falsified.falsify(run);
        const std::vector<Violation> found = InvariantChecker(run).check();
        const bool isFound
            = std::any_of(found.begin(), found.end(), [&falsified](const Violation &violation) { return violation.guarantee == falsified.guarantee; });
        BOOST_TEST(isFound, falsified.name << ": " << describe(found));
    }
}

BOOST_AUTO_TEST_CASE(ProxyInjectsConfiguredFaults)
{
    std::atomic<int> handled = 0;
    HttpServer server(HttpServer::Options().withAddress({ "127.0.0.1", 0 }), [&handled](const std::shared_ptr<HttpExchange> &exchange) {
        ++handled;
        exchange->respond(HttpResponse{ .body = "{}" });
    });
    FaultProxy proxy("127.0.0.1", server.address(), 1);
    HttpClient client;
    const auto call = [&](Duration timeout) { return client.callAndWait(proxy.address(), HttpRequest{ .method = "GET", .target = "/" }, timeout); };
    BOOST_TEST(call(10s).response.has_value());

    proxy.setFaults(Faults{ .answersLost = true });
    BOOST_TEST((call(10s).failure == HttpFailure::Broken));
    BOOST_TEST(handled == 2);

    proxy.setFaults(Faults{ .halfOpen = true });
    BOOST_TEST((call(100ms).failure == HttpFailure::TimedOut));

    proxy.setFaults(Faults{ .cut = true });
    BOOST_TEST(!call(10s).response.has_value());
    BOOST_TEST(handled == 2);

    proxy.setFaults(Faults{});
    BOOST_TEST(call(10s).response.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
