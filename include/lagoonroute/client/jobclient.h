#pragma once

#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/client/submission.h>
#include <lagoonroute/client/submissionkeygenerator.h>
#include <lagoonroute/http/httpclient.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Submits jobs to the entries and waits for their answers.
 *
 * A request that fails, or that is refused temporarily, is resent to the next entry with the same submission key, with
 * growing delays, until the deadline of the job. A job is never sent with two different keys.
 */
class JobClient
{
public:
    /** Entries to submit to, caller name and retry delays. */
    struct Options
    {
        std::vector<NodeAddress> entries;
        std::string caller = "anonymous"; /**< Name of the caller that the jobs are accounted to. */
        Duration firstRetryDelay = std::chrono::milliseconds(50); /**< Upper bound of the first delay; doubles with each attempt. Delays have jitter. */
        Duration maxRetryDelay = std::chrono::seconds(2);
        std::uint64_t seed = 0; /**< Seed of the submission keys and the jitter; 0 for a random seed. */

        Options withEntry(NodeAddress entry) const;
        Options withCaller(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Creates a client. Throws InvalidDocument if the options contain no entry. */
    explicit JobClient(Options options);

    /** Submits the job, blocks until it has an outcome or its deadline has passed, and returns the outcome. */
    JobResult submit(const Submission &submission);

    /** Number of HTTP requests sent so far. */
    [[nodiscard]] std::uint64_t requestsSent() const noexcept
    {
        return m_requestsSent;
    }

private:
    [[nodiscard]] HttpRequest makeRequest(const Submission &submission, const std::string &key) const;
    Duration retryDelay(unsigned attempt, const HttpResult &result);

    Options m_options;
    SubmissionKeyGenerator m_keyGenerator;
    std::mt19937_64 m_random;
    std::size_t m_nextEntry = 0;
    std::uint64_t m_requestsSent = 0;
    HttpClient m_http;
};

} // namespace lagoonroute
