#pragma once

#include "http.h"
#include "record.h"

#include <boost/json/object.hpp>

#include <condition_variable>
#include <random>

namespace review
{

/** A start that a worker has carried out. */
struct Start
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t at = 0; // on the record's clock
    std::int64_t endedAt = -1; // -1 while it runs
    std::string how;
};

/** All starts of a case, by all workers. */
class Starts
{
public:
    std::size_t add(const Start &start);
    void end(std::size_t index, std::int64_t at, const std::string &how);
    [[nodiscard]] std::vector<Start> all() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Start> m_starts;
};

/** What differs between workers. */
struct WorkerOptions
{
    std::string id;
    std::string service = "booking";
    std::uint16_t port = 0;
    std::uint16_t control = 0; // of the process beside it
    std::int64_t cpu = 64'000;
    std::chrono::milliseconds heartbeat{ 1500 };
};

/**
 * An application worker that runs tasks under leases, as the pages describe it. The spec of a task is its work in
 * milliseconds.
 */
class Worker
{
public:
    Worker(WorkerOptions options, Record &record, Starts &starts);
    ~Worker();

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /** The body of a heartbeat, with the next sequence number. */
    boost::json::object heartbeat();

    /** Says `draining` from the next heartbeat on, which is sent at once. */
    void drain();

    /**
     * Leaves every second start order unanswered from now on, and carries it out later, after a time between the two limits. The
     * orders are delayed on their way, so they also reach a worker that has started again meanwhile.
     */
    void delayStarts(std::chrono::milliseconds least, std::chrono::milliseconds most);

    /** Answers every start order again. */
    void answerStarts();

    /** Ends the worker: what runs is gone, and connections are refused. */
    void crash();

    /** Starts the worker again under its id. It knows nothing of before, and its clock starts anew. */
    void restart();

    /** Suspends the worker with its machine: nothing runs or is answered, and its steady clock does not count the time. */
    void suspend();

    /** Ends the suspension: everything goes on where it stood. */
    void resume();

    /** When a heartbeat that says `draining` was first acknowledged, on the record's clock; -1 before. */
    [[nodiscard]] std::int64_t drainingAcknowledgedAt() const;

private:
    struct Run
    {
        std::int64_t number = 0;
        std::int64_t startedAt = 0;
        std::int64_t work = 0;
        std::size_t index = 0; // in Starts
        std::int64_t stopAt = -1; // when a stop that was ordered is complete; -1 without one
    };

    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    /** Start order on its way. */
    struct DelayedStart
    {
        Clock::time_point due;
        Request request;
    };

    Response serve(const Request &request);
    Response handle(const Request &request);
    bool delayed(const Request &request);
    void carryOutDelayedStarts();
    Response start(const boost::json::object &body);
    Response stop(const boost::json::object &body);
    Response hold(const boost::json::object &body, std::unique_lock<std::mutex> &lock);
    [[nodiscard]] Response refusal(const std::string &reason) const;
    [[nodiscard]] std::int64_t clock() const;
    void endRun(const std::string &task, const std::string &how);
    void advance();
    void tick();

    WorkerOptions m_options;
    Record &m_record;
    Starts &m_starts;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopping = false;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_isReportDue = true;
    std::atomic<std::int64_t> m_drainingAcknowledgedAt = -1;
    Clock::time_point m_begin = Clock::now();
    std::int64_t m_born = 0;
    std::int64_t m_token = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highestRun; // stopped or ended, by task
    std::vector<End> m_ends;
    bool m_isSuspended = false;
    Clock::time_point m_suspendedAt;
    Clock::duration m_suspendedTime{ 0 };
    bool m_isDelaying = false;
    bool m_isNextDelayed = false;
    std::chrono::milliseconds m_leastDelay{ 0 };
    std::chrono::milliseconds m_mostDelay{ 0 };
    std::minstd_rand m_random{ std::random_device{}() };
    std::vector<DelayedStart> m_delayedStarts;
    std::atomic<bool> m_isUp = true;
    std::unique_ptr<HttpService> m_service;
    std::thread m_ticker;
};

} // namespace review
