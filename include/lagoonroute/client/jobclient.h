#pragma once

#include <lagoonroute/client/jobresult.h>
#include <lagoonroute/client/keyminter.h>
#include <lagoonroute/client/submission.h>
#include <lagoonroute/http/httpclient.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Submits jobs to the entries and waits for their answers.
 *
 * A request that breaks off or is refused for a while is sent again under the same key, to the next entry, with growing
 * waits, until the deadline of the job. It never sends the same job under two keys.
 */
class JobClient
{
public:
    /** How the client reaches the entries. */
    struct Options
    {
        std::vector<NodeAddress> entries;
        std::string caller = "anonymous"; /**< Name under which jobs are accounted. */
        Duration firstRetryWait = std::chrono::milliseconds(50); /**< Doubles with each try, with jitter. */
        Duration largestRetryWait = std::chrono::seconds(2);
        std::uint64_t seed = 0; /**< Of keys and jitter; 0 takes one from the system. */

        Options withEntry(NodeAddress entry) const;
        Options withCaller(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Creates a client. Throws InvalidDocument without an entry. */
    explicit JobClient(Options options);

    /** Submits the job and waits for its one outcome. */
    JobResult submit(const Submission &submission);

    /** Number of HTTP requests sent so far. */
    [[nodiscard]] std::uint64_t requestsSent() const noexcept
    {
        return m_requestsSent;
    }

private:
    [[nodiscard]] HttpRequest requestFor(const Submission &submission, const std::string &key) const;
    Duration waitBeforeRetry(unsigned attempt, const HttpResult &result);

    Options m_options;
    KeyMinter m_minter;
    std::mt19937_64 m_random;
    std::size_t m_nextEntry = 0;
    std::uint64_t m_requestsSent = 0;
    HttpClient m_http;
};

} // namespace lagoonroute
