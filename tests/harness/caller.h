#pragma once

#include "evidence.h"

#include <lagoonroute/membership/member.h>

#include <functional>
#include <memory>
#include <vector>

namespace lagoonroute::harness
{

/** A job of the tests. */
struct TestJob
{
    std::string key;
    std::vector<std::chrono::milliseconds> work; /**< One work time for each task. */
    bool idempotent = true;
    std::chrono::milliseconds declared{ 0 }; /**< Run time that the caller claims for each task; zero for none. */
    std::uint64_t declaredMegabytes = 0; /**< Memory that the caller claims for each task. */
    std::chrono::milliseconds deadline{ 0 }; /**< Zero for none. */

    /** Returns a job of equal tasks. */
    static TestJob ofTasks(std::string key, std::size_t tasks, std::chrono::milliseconds work);
};

/** Stands for every caller of a run: submits jobs through the entries and records each request and its answer. */
class Caller
{
public:
    /** Tells through which entries new requests may go, as the platform's balancer does. */
    using Balancer = std::function<std::vector<std::size_t>()>;

    /** Creates a caller of the given entries; `seed` decides through which entry a request goes. */
    Caller(std::vector<NodeAddress> entries, std::uint64_t seed);
    ~Caller();

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Limits the entries for later requests. */
    void setBalancer(Balancer balancer);

    /** Sends one request through the entry and does not wait. */
    void send(const TestJob &job, std::size_t entry);

    /** Sends one request through a random entry and does not wait. */
    void send(const TestJob &job);

    /**
     * Submits the job under its key through random entries until it is answered, and does not wait.
     *
     * A refusal as not run that a retry may mend (status 429 or 503) is submitted again after a pause.
     */
    void sendUntilAnswered(const TestJob &job);

    /** Asks to cancel the job through the entry, and waits for the answer. Returns the status, or 0 without an answer. */
    unsigned cancel(const std::string &key, std::size_t entry);

    /** Waits until every request has ended. */
    void wait();

    /** Number of requests that have not ended. */
    [[nodiscard]] std::size_t pending() const;

    /** Number of requests that were answered with the outcome. */
    [[nodiscard]] std::size_t answered(const std::string &outcome) const;

    /** Every request so far. */
    [[nodiscard]] std::vector<CallRecord> calls() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute::harness
