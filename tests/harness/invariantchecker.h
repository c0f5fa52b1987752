#pragma once

#include "evidence.h"

#include <map>

namespace lagoonroute::harness
{

/** Guarantees that every run must meet. */
enum class Guarantee : std::uint8_t {
    StartedAtMostOnce,
    CompleteOrFailed,
    OwnResults,
    NotRunStartedNothing,
    NonIdempotentOnce,
    NoStartAfterWithdrawal,
    GracefulStop,
    ConfigurationInForce,
    AnsweredConsistently, /**< Every job is answered eventually, and a resubmission receives the same answer. */
};

/** A violated guarantee with details. */
struct Violation
{
    Guarantee guarantee;
    std::string detail;
};

/** Checks the evidence of one run against the guarantees. */
class InvariantChecker
{
public:
    explicit InvariantChecker(Evidence evidence);

    /** Returns every violation. */
    std::vector<Violation> check();

private:
    void checkStarts();
    void checkAnswers();
    void checkComplete(const CallRecord &call);
    void checkFailed(const CallRecord &call);
    void checkNotRun(const CallRecord &call);
    void checkSameAnswer();
    void checkWithdrawals();
    void checkPlannedStops();
    void checkRevisions();
    void report(Guarantee guarantee, const std::string &detail);

    Evidence m_evidence;
    std::map<std::string, std::vector<const StartRecord *>> m_startsByKey;
    std::map<std::string, std::vector<const CallRecord *>> m_callsByKey;
    std::vector<Violation> m_violations;
};

/** Returns the violations as text, one per line; empty if there are none. */
std::string describe(const std::vector<Violation> &violations);

} // namespace lagoonroute::harness
