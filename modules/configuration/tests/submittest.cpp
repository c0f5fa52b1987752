#include "fakestore.h"

#include <lagoonroute/configuration/configuration.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>
#include <set>

using namespace lagoonroute;

namespace
{

SubmitRequest request(Revision reviewed, const std::string &mark, std::uint32_t queueLimit = 1)
{
    const Configuration content = Configuration::Builder().withService(ServiceRules::Builder("booking").withQueueLimit(queueLimit).build()).build();
    return { content, reviewed, "aminata", "festival", WallTime(std::chrono::milliseconds(1'700'000'000'123)), mark };
}

/** Runs a submission. `script` lists the losses of its first calls, `afterwards` applies to all later ones. */
SubmitResult submit(FakeStore &store, const SubmitRequest &submission, std::deque<Loss> script = {}, Loss afterwards = Loss::None)
{
    SubmitCore core(submission);
    while (const auto call = core.nextCall()) {
        const Loss loss = script.empty() ? afterwards : script.front();
        if (!script.empty()) {
            script.pop_front();
        }
        core.handle(store.call(*call, loss));
    }
    return *core.result();
}

StoredConfiguration current(const FakeStore &store)
{
    return StoredConfiguration::fromText(store.entries.at(std::string(configurationKey)).value);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SubmitTest)

BOOST_AUTO_TEST_CASE(AcceptedSubmissionStoresPredecessorInHistory)
{
    FakeStore store;
    BOOST_TEST(submit(store, request(0, "a")).revision == 1U);
    BOOST_TEST(submit(store, request(1, "b", 2)).revision == 2U);
    const StoredConfiguration first = StoredConfiguration::fromText(store.entries.at(historyKey(1)).value);
    BOOST_TEST(first.audit.mark == "a");
    const AuditRecord second = current(store).audit;
    BOOST_TEST(second.changes.at(0) == "~ /services/booking/queueLimit: 1 -> 2");
    BOOST_TEST((AuditRecord::fromJsonLine(second.toJsonLine()) == second));
    BOOST_TEST(toString(second.time) == "2023-11-14T22:13:20.123Z");
}

BOOST_AUTO_TEST_CASE(LostStoreCallsYieldCorrectOutcome)
{
    const struct
    {
        const char *name;
        std::deque<Loss> script; /**< Losses of the first calls, which read, store the predecessor and swap. */
        Loss afterwards;
        SubmitOutcome outcome;
        Revision revisionInStore;
    } cases[] = {
        { "store down at the start", {}, Loss::Request, SubmitOutcome::NotSubmitted, 1 },
        { "store down after the read", { Loss::None }, Loss::Answer, SubmitOutcome::NotSubmitted, 1 },
        { "swap lost before its effect", { Loss::None, Loss::None, Loss::Request }, Loss::None, SubmitOutcome::Accepted, 2 },
        { "answer lost after its effect", { Loss::None, Loss::None, Loss::Answer }, Loss::None, SubmitOutcome::Accepted, 2 },
        { "store down after the effect", { Loss::None, Loss::None, Loss::Answer }, Loss::Request, SubmitOutcome::Unknown, 2 },
        { "store down before the effect", { Loss::None, Loss::None, Loss::Request }, Loss::Request, SubmitOutcome::Unknown, 1 },
    };
    for (const auto &example : cases) {
        BOOST_TEST_CONTEXT(example.name)
        {
            FakeStore store;
            submit(store, request(0, "a"));
            BOOST_TEST((submit(store, request(1, "b"), example.script, example.afterwards).outcome == example.outcome));
            BOOST_TEST(current(store).revision() == example.revisionInStore);
            BOOST_TEST((submit(store, request(1, "b")).outcome == SubmitOutcome::Accepted));
            BOOST_TEST(current(store).revision() == 2U);
            BOOST_TEST((submit(store, request(2, "c")).outcome == SubmitOutcome::Accepted));
            BOOST_TEST((submit(store, request(1, "b")).outcome == SubmitOutcome::Accepted));
        }
    }
}

BOOST_AUTO_TEST_CASE(ConflictReturnsCurrentAndReviewedConfigurations)
{
    FakeStore store;
    submit(store, request(0, "a", 1));
    submit(store, request(1, "b", 2));
    const SubmitResult result = submit(store, request(1, "c", 3));
    BOOST_TEST((result.outcome == SubmitOutcome::Conflict));
    BOOST_TEST(result.current->audit.mark == "b");
    BOOST_TEST(toString(diff(result.reviewed->configuration, result.current->configuration)) == "~ /services/booking/queueLimit: 1 -> 2\n");
    store.entries.at(std::string(configurationKey)).value += "x";
    BOOST_TEST((submit(store, request(2, "d")).outcome == SubmitOutcome::Unreadable));
}

BOOST_AUTO_TEST_CASE(ConcurrentSubmissionsWithLostCallsAcceptEachMarkOnce)
{
    const bool holds = rc::check("each accepted mark becomes one revision, and no refused one does", [] {
        FakeStore store;
        std::map<std::string, SubmitOutcome> outcomes;
        std::vector<std::string> marks;
        for (int round = 0; round < 4; ++round) {
            const Revision reviewed = store.entries[std::string(configurationKey)].version > 0 ? current(store).revision() : 0;
            std::vector<std::pair<std::string, std::unique_ptr<SubmitCore>>> operators;
            for (int number = 0; number < 3; ++number) {
                const std::string mark = std::to_string(round) + "-" + std::to_string(number);
                operators.emplace_back(mark, std::make_unique<SubmitCore>(request(reviewed, mark)));
            }
            while (!operators.empty()) {
                const auto index = *rc::gen::inRange<std::size_t>(0, operators.size());
                SubmitCore &core = *operators[index].second;
                const std::uint64_t before = store.entries[std::string(configurationKey)].version;
                core.handle(store.call(*core.nextCall(), *rc::gen::element(Loss::None, Loss::None, Loss::Request, Loss::Answer)));
                if (store.entries[std::string(configurationKey)].version != before) {
                    marks.push_back(current(store).audit.mark);
                }
                if (core.result()) {
                    outcomes[operators[index].first] = core.result()->outcome;
                    operators.erase(operators.begin() + static_cast<std::ptrdiff_t>(index));
                }
            }
        }
        const std::set<std::string> applied(marks.begin(), marks.end());
        RC_ASSERT(applied.size() == marks.size());
        for (const auto &[mark, outcome] : outcomes) {
            RC_ASSERT(outcome == SubmitOutcome::Unknown || (outcome == SubmitOutcome::Accepted) == applied.contains(mark));
        }
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()
