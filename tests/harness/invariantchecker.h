#pragma once

#include "evidence.h"

#include <map>

namespace lagoonroute::harness
{

/** The promises that every run must keep. */
enum class Promise : std::uint8_t {
    StartedAtMostOnce,
    CompleteOrFailed,
    OwnAnswer,
    NotRunDidNotRun,
    NonIdempotentOnce,
    NothingAfterLeaving,
    GracefulStop,
    ConfigurationInForce,
    Answered, /**< Every submission gets an answer in the end, and every resubmission the same one. */
};

/** A promise that was broken, and how. */
struct Violation
{
    Promise promise;
    std::string detail;
};

/** Checks the evidence of one run against the promises. */
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
    void checkDepartures();
    void checkPlannedStops();
    void checkRevisions();
    void report(Promise promise, const std::string &detail);

    Evidence m_evidence;
    std::map<std::string, std::vector<const StartRecord *>> m_startsByKey;
    std::map<std::string, std::vector<const CallRecord *>> m_callsByKey;
    std::vector<Violation> m_violations;
};

/** Returns the violations as text, one a line; empty when there are none. */
std::string describe(const std::vector<Violation> &violations);

} // namespace lagoonroute::harness
