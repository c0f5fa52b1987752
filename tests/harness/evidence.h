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

/** One start of a task, as its upstream logged it. Job and task are those that the caller wrote into the task's body. */
struct StartRecord
{
    std::string key;
    std::size_t task = 0;
    std::string worker;
    std::uint64_t number = 0; /**< Unique over all upstreams; repeated in the result. */
    Instant startedAt;
    std::optional<Instant> endedAt; /**< When the upstream answered. */
};

/** Result of one task within an answer. */
struct ResultSeen
{
    std::string key;
    std::size_t task = 0;
    std::uint64_t number = 0;
};

/** Answer as the caller read it. */
struct AnswerSeen
{
    unsigned status = 0;
    std::string outcome;
    std::string reason;
    std::vector<ResultSeen> results;
    std::vector<std::size_t> started;
    std::string body;
};

/** One request of a caller and what came back. */
struct CallRecord
{
    std::string key;
    std::size_t tasks = 0;
    bool idempotent = true;
    std::size_t entry = 0;
    Instant sentAt;
    std::optional<Instant> endedAt; /**< Of the answer or of the connection. */
    bool isSent = true; /**< False when the connection was refused, so that nothing was submitted. */
    std::optional<AnswerSeen> answer;
};

/** An upstream began to leave. */
struct Departure
{
    std::string worker;
    Instant at;
};

/** A process reported the configuration revision that it has in force. */
struct RevisionSeen
{
    std::string process;
    Revision revision = 0;
};

/** What one run left behind: answers of callers and start logs of upstreams, nothing from the system itself. */
struct Evidence
{
    std::vector<CallRecord> calls;
    std::vector<StartRecord> starts;
    std::vector<Departure> departures;
    std::vector<RevisionSeen> revisions;
    Revision acceptedRevision = 0; /**< Every process must have it in force at the end. */
    bool onlyPlannedStops = false; /**< Nothing failed in this run, so every request must be complete. */
};

/** Start log shared by the upstreams of a run. */
class StartLog
{
public:
    /** Logs a start and returns its number. */
    std::uint64_t start(const std::string &key, std::size_t task, const std::string &worker);

    /** Logs that the upstream answered the start of that number. */
    void end(std::uint64_t number);

    /** Logs that the upstream leaves from now on. */
    void leave(const std::string &worker);

    /** Number of starts so far; with a name, of that worker's. */
    [[nodiscard]] std::size_t starts(const std::string &worker = {}) const;

    /** Number of starts without an end. */
    [[nodiscard]] std::size_t running() const;

    /** Adds what was logged to the evidence. */
    void copyTo(Evidence &evidence) const;

private:
    mutable std::mutex m_mutex;
    std::vector<StartRecord> m_starts;
    std::vector<Departure> m_departures;
};

} // namespace lagoonroute::harness
