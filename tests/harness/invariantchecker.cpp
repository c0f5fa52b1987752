#include "invariantchecker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lagoonroute::harness
{

namespace
{

/** Time after its withdrawal in which an upstream may still receive tasks. */
constexpr std::chrono::seconds withdrawalGrace{ 3 };

bool isOutcome(const CallRecord *call, const char *outcome)
{
    return call->answer && call->answer->outcome == outcome;
}

} // namespace

InvariantChecker::InvariantChecker(Evidence evidence)
    : m_evidence(std::move(evidence))
{
    for (const StartRecord &start : m_evidence.starts) {
        m_startsByKey[start.key].push_back(&start);
    }
    for (const CallRecord &call : m_evidence.calls) {
        m_callsByKey[call.key].push_back(&call);
    }
}

std::vector<Violation> InvariantChecker::check()
{
    checkStarts();
    checkAnswers();
    checkSameAnswer();
    checkWithdrawals();
    checkPlannedStops();
    checkRevisions();
    return std::exchange(m_violations, {});
}

void InvariantChecker::checkStarts()
{
    std::map<std::pair<std::string, std::size_t>, int> counts;
    for (const StartRecord &start : m_evidence.starts) {
        if (++counts[{ start.key, start.task }] != 2) {
            continue;
        }
        const auto calls = m_callsByKey.find(start.key);
        const bool idempotent = calls == m_callsByKey.end() || calls->second.front()->idempotent;
        report(idempotent ? Guarantee::StartedAtMostOnce : Guarantee::NonIdempotentOnce,
               start.key + " task " + std::to_string(start.task) + " started again at " + start.worker);
    }
}

void InvariantChecker::checkAnswers()
{
    for (const CallRecord &call : m_evidence.calls) {
        if (!call.answer) {
            continue;
        }
        if (isOutcome(&call, "complete")) {
            checkComplete(call);
        } else if (isOutcome(&call, "failed")) {
            checkFailed(call);
        } else if (isOutcome(&call, "not-run")) {
            checkNotRun(call);
        } else {
            report(Guarantee::CompleteOrFailed, call.key + " has the outcome \"" + call.answer->outcome + "\", status " + std::to_string(call.answer->status));
        }
    }
}

void InvariantChecker::checkComplete(const CallRecord &call)
{
    const auto &results = call.answer->results;
    if (results.size() != call.tasks) {
        report(Guarantee::CompleteOrFailed,
               call.key + " is complete with " + std::to_string(results.size()) + " of " + std::to_string(call.tasks) + " results");
        return;
    }
    const auto &starts = m_startsByKey[call.key];
    for (std::size_t task = 0; task < results.size(); ++task) {
        const ReceivedResult &result = results[task];
        if (result.key != call.key || result.task != task) {
            report(Guarantee::OwnResults,
                   call.key + " task " + std::to_string(task) + " received the result of " + result.key + " task " + std::to_string(result.task));
            continue;
        }
        const bool isLogged = std::any_of(
            starts.begin(), starts.end(), [&](const StartRecord *start) { return start->number == result.number && start->task == task && start->endedAt; });
        if (!isLogged) {
            report(Guarantee::CompleteOrFailed, call.key + " task " + std::to_string(task) + " has a result without a finished start at an upstream");
        }
    }
}

void InvariantChecker::checkFailed(const CallRecord &call)
{
    const auto &named = call.answer->started;
    for (const StartRecord *start : m_startsByKey[call.key]) {
        if (std::find(named.begin(), named.end(), start->task) == named.end()) {
            report(Guarantee::CompleteOrFailed, call.key + " failed without naming started task " + std::to_string(start->task));
        }
    }
}

void InvariantChecker::checkNotRun(const CallRecord &call)
{
    // A start after this request was sent is allowed only if another request with the same key, not answered as not run, was sent before the start.
    const auto &calls = m_callsByKey[call.key];
    for (const StartRecord *start : m_startsByKey[call.key]) {
        const bool isBefore = start->startedAt < call.sentAt;
        const bool isAsked = std::any_of(calls.begin(), calls.end(), [&](const CallRecord *other) {
            return other->isSent && other->sentAt <= start->startedAt && !isOutcome(other, "not-run");
        });
        if (isBefore || !isAsked) {
            report(Guarantee::NotRunStartedNothing,
                   call.key + " was answered as not run (" + call.answer->reason + "), but task " + std::to_string(start->task) + " started at " + start->worker
                       + (isBefore ? " before" : ""));
        }
    }
}

void InvariantChecker::checkSameAnswer()
{
    for (const auto &[key, calls] : m_callsByKey) {
        const CallRecord *first = nullptr;
        bool isAnswered = false;
        for (const CallRecord *call : calls) {
            isAnswered = isAnswered || call->answer;
            if (!call->answer || isOutcome(call, "not-run")) {
                continue;
            }
            if (first != nullptr && first->answer->body != call->answer->body) {
                report(Guarantee::AnsweredConsistently, key + " was answered differently: " + first->answer->body + " and " + call->answer->body);
                break;
            }
            first = call;
        }
        if (!isAnswered) {
            report(Guarantee::AnsweredConsistently, key + " was never answered");
        }
    }
}

void InvariantChecker::checkWithdrawals()
{
    for (const Withdrawal &withdrawal : m_evidence.withdrawals) {
        for (const StartRecord &start : m_evidence.starts) {
            if (start.worker == withdrawal.worker && start.startedAt > withdrawal.at + withdrawalGrace) {
                report(Guarantee::NoStartAfterWithdrawal, start.worker + " received a task of " + start.key + " after the grace period of its withdrawal");
            }
        }
    }
}

void InvariantChecker::checkPlannedStops()
{
    if (!m_evidence.onlyPlannedStops) {
        return;
    }
    for (const CallRecord &call : m_evidence.calls) {
        if (call.isSent && !isOutcome(&call, "complete")) {
            const std::string seen = call.answer ? call.answer->body : "no answer";
            report(Guarantee::GracefulStop, call.key + " through entry " + std::to_string(call.entry) + ": " + seen);
        }
    }
}

void InvariantChecker::checkRevisions()
{
    std::map<std::string, Revision> last;
    for (const ObservedRevision &seen : m_evidence.revisions) {
        Revision &revision = last[seen.process];
        if (seen.revision < revision) {
            report(Guarantee::ConfigurationInForce,
                   seen.process + " reverted from revision " + std::to_string(revision) + " to " + std::to_string(seen.revision));
        }
        revision = seen.revision;
    }
    for (const auto &[process, revision] : last) {
        if (revision < m_evidence.acceptedRevision) {
            report(Guarantee::ConfigurationInForce, process + " remained at revision " + std::to_string(revision));
        }
    }
}

void InvariantChecker::report(Guarantee guarantee, const std::string &detail)
{
    m_violations.push_back(Violation{ guarantee, detail });
}

std::string describe(const std::vector<Violation> &violations)
{
    constexpr std::array names{ "started at most once",    "complete or failed",     "own results",
                                "not run started nothing", "non-idempotent once",    "no start after withdrawal",
                                "graceful stop",           "configuration in force", "answered consistently" };
    std::string text;
    for (const Violation &violation : violations) {
        text += std::string(names.at(static_cast<std::size_t>(violation.guarantee))) + ": " + violation.detail + "\n";
    }
    return text;
}

} // namespace lagoonroute::harness
