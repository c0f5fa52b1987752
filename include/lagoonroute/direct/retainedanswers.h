#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/directjob.h>

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace lagoonroute
{

/** Answers of ended jobs, which resubmissions of them get. Bounded in time, number and memory; the oldest is given up first. */
class RetainedAnswers
{
public:
    /** Bounds. */
    struct Options
    {
        Duration retention = std::chrono::seconds(10);
        std::size_t maxCount = 4096;
        std::size_t maxIdBytes = 1U << 20U; /**< Of the ids of all retained jobs; an id may be as long as a request header. */
    };

    /** Answer that a resubmission of a job gets. */
    struct Answer
    {
        std::optional<DirectAnswer> answer; /**< No value: the job has started, and its client account left before the answer. */
        Instant until;
    };

    explicit RetainedAnswers(Options options);

    /** Returns the answer of a job if it is still retained, otherwise null. */
    [[nodiscard]] const Answer *find(const std::string &job, Instant now) const;

    /** Retains the answer of a job. */
    void retain(const std::string &job, std::optional<DirectAnswer> answer, Instant now);

private:
    Options m_options;
    std::unordered_map<std::string, Answer> m_answers; // by job
    std::deque<std::string> m_order; // jobs of m_answers, the oldest first
    std::size_t m_idBytes = 0;
};

} // namespace lagoonroute
