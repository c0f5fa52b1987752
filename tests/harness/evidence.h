#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute::harness
{

/** A start of a task as logged by its upstream. Key and task are the values that the caller wrote into the task's body. */
struct StartRecord
{
    std::string key;
    std::size_t task = 0;
    std::string worker;
    std::uint64_t number = 0; /**< Unique across all upstreams; the result contains it. */
    Instant startedAt;
    std::optional<Instant> endedAt; /**< Time at which the upstream answered or stopped the task. */
};

/** Result of one task in an answer. */
struct ReceivedResult
{
    std::string key;
    std::size_t task = 0;
    std::uint64_t number = 0;
};

/** Answer as received by the caller. */
struct ReceivedAnswer
{
    unsigned status = 0;
    std::string outcome;
    std::string reason;
    std::vector<ReceivedResult> results;
    std::vector<std::size_t> started;
    std::string body;
};

/** A request of a caller and its answer, if any. */
struct CallRecord
{
    std::string key;
    std::size_t tasks = 0;
    bool idempotent = true;
    std::size_t entry = 0;
    Instant sentAt;
    std::optional<Instant> endedAt; /**< Time of the answer, of the broken connection or of the timeout. */
    bool isSent = true; /**< False when the connection was refused, so that nothing was submitted. */
    std::optional<ReceivedAnswer> answer;
};

/** Withdrawal of an upstream's announcement. */
struct Withdrawal
{
    std::string worker;
    Instant at;
};

/** Configuration revision in force that a process reported. */
struct ObservedRevision
{
    std::string process;
    Revision revision = 0;
};

/** Records of one run: requests and answers of callers, start logs of upstreams, and reported configuration revisions. */
struct Evidence
{
    std::vector<CallRecord> calls;
    std::vector<StartRecord> starts;
    std::vector<Withdrawal> withdrawals;
    std::vector<ObservedRevision> revisions;
    Revision acceptedRevision = 0; /**< Must be in force in every process at the end. */
    bool onlyPlannedStops = false; /**< The run has planned stops and no failures, so every request that was sent must be complete. */
};

/** Start log shared by the upstreams of a run. */
class StartLog
{
public:
    /** Logs a start and returns its number. */
    std::uint64_t start(const std::string &key, std::size_t task, const std::string &worker);

    /** Logs the end of the start with the given number. */
    void end(std::uint64_t number);

    /** Logs that the upstream withdraws its announcement now. */
    void logWithdrawal(const std::string &worker);

    /** Number of starts so far: of the given worker, or of all workers if the name is empty. */
    [[nodiscard]] std::size_t starts(const std::string &worker = {}) const;

    /** Number of starts without a logged end. */
    [[nodiscard]] std::size_t running() const;

    /** Copies the starts and withdrawals to the evidence. */
    void copyTo(Evidence &evidence) const;

private:
    mutable std::mutex m_mutex;
    std::vector<StartRecord> m_starts;
    std::vector<Withdrawal> m_withdrawals;
};

} // namespace lagoonroute::harness
