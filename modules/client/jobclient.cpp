#include <lagoonroute/client/jobclient.h>

#include "jobresponse.h"

#include <lagoonroute/base/errors.h>

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace lagoonroute
{

namespace
{

/** How long the client waits for an answer after the job's deadline before it abandons the request. */
constexpr std::chrono::seconds answerGrace{ 5 };

std::uint64_t seedOrRandom(std::uint64_t seed)
{
    return seed != 0 ? seed : std::random_device{}();
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
}

} // namespace

JobClient::Options JobClient::Options::withEntry(NodeAddress entry) const
{
    Options changed = *this;
    changed.entries.push_back(std::move(entry));
    return changed;
}

JobClient::Options JobClient::Options::withCaller(std::string name) const
{
    Options changed = *this;
    changed.caller = std::move(name);
    return changed;
}

JobClient::Options JobClient::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

JobClient::JobClient(Options options)
    : m_options(std::move(options))
    , m_keyGenerator(seedOrRandom(m_options.seed))
    , m_random(seedOrRandom(m_options.seed))
{
    if (m_options.entries.empty()) {
        throw InvalidDocument("a client needs the address of at least one entry");
    }
    m_nextEntry = m_random() % m_options.entries.size();
}

JobResult JobClient::submit(const Submission &submission)
{
    const std::string key = submission.key().empty() ? m_keyGenerator.generate(wallNow()) : submission.key();
    const Instant end = MonotonicClock::now() + submission.deadline();
    bool anyMayHaveRun = false;
    for (unsigned attempt = 0;; ++attempt) {
        const NodeAddress &entry = m_options.entries[m_nextEntry % m_options.entries.size()];
        const Duration left = std::max<Duration>(end - MonotonicClock::now(), Duration::zero());
        ++m_requestsSent;
        const HttpResult result = m_http.callAndWait(entry, makeRequest(submission, key), left + answerGrace);
        const JobResponse response = interpretResponse(result);
        if (response.result && !response.retryable) {
            return *response.result;
        }
        anyMayHaveRun = anyMayHaveRun || response.mayHaveRun;
        const Duration delay = retryDelay(attempt, result);
        if (MonotonicClock::now() + delay >= end) {
            if (anyMayHaveRun) {
                return JobFailed{ "no-answer", "the deadline passed without an answer; the tasks may have run", {} };
            }
            return response.result.value_or(JobNotRun{ "no-entry", "no entry could be reached" });
        }
        ++m_nextEntry;
        std::this_thread::sleep_for(delay);
    }
}

HttpRequest JobClient::makeRequest(const Submission &submission, const std::string &key) const
{
    HttpRequest request{ .method = "POST", .target = "/v1/services/" + submission.service() + "/jobs", .body = submission.body() };
    request.fields = { { "Content-Type", "application/json" }, { "Idempotency-Key", key }, { "Lagoonroute-Caller", m_options.caller } };
    return request;
}

Duration JobClient::retryDelay(unsigned attempt, const HttpResult &result)
{
    constexpr unsigned largestShift = 16;
    const Duration doubled = m_options.firstRetryDelay * (1U << std::min(attempt, largestShift));
    const Duration limit = std::min(doubled, m_options.maxRetryDelay);
    const Duration jittered(std::uniform_int_distribution<Duration::rep>(limit.count() / 2, limit.count())(m_random));
    return std::max(jittered, retryAfterOf(result));
}

} // namespace lagoonroute
