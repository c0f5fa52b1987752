#pragma once

#include "evidence.h"

#include <lagoonroute/membership/member.h>

#include <functional>
#include <memory>
#include <vector>

namespace lagoonroute::harness
{

/** A job that the tests submit. */
struct TestJob
{
    std::string key;
    std::vector<std::chrono::milliseconds> work; /**< Time that the upstream works on each task. */
    bool idempotent = true;
    std::chrono::milliseconds declared{ 0 }; /**< Run time declared for each task; zero for none. */
    std::uint64_t declaredMegabytes = 0; /**< Memory declared for each task; zero for none. */
    std::chrono::milliseconds deadline{ 0 }; /**< Zero for none. */

    /** Returns a job of `tasks` tasks with the same work time. */
    static TestJob ofTasks(std::string key, std::size_t tasks, std::chrono::milliseconds work);
};

/** Represents all callers of a run: submits jobs through the entries and records each request and its answer. */
class Caller
{
public:
    /** Returns the indices of the entries that may receive new requests, as the platform's load balancer does. */
    using Balancer = std::function<std::vector<std::size_t>()>;

    /** Creates a caller of the given entries; `seed` initialises the random choice of the entry for each request. */
    Caller(std::vector<NodeAddress> entries, std::uint64_t seed);
    ~Caller();

    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    /** Restricts later requests to the entries that the balancer returns. */
    void setBalancer(Balancer balancer);

    /** Sends one request through the entry and does not wait. */
    void send(const TestJob &job, std::size_t entry);

    /** Sends one request through a random entry and does not wait. */
    void send(const TestJob &job);

    /**
     * Submits the job under its key through random entries until it is answered, and does not wait.
     *
     * Retries after a delay when there is no answer, or when the job was rejected as not run with status 429 or 503.
     */
    void sendUntilAnswered(const TestJob &job);

    /** Sends a cancellation of the job through the entry and waits for the answer. Returns its HTTP status, or 0 without an answer. */
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
