#pragma once

#include <lagoonroute/dispatch/messages.h>

#include <deque>
#include <map>
#include <utility>

namespace lagoonroute
{

/**
 * Retains the answers to refused requests for a limited time, so that a repeated or late copy of a request is not
 * admitted after its caller received "not run".
 */
class RefusalCache
{
public:
    /** Returns the answer to a refused request, or null. */
    [[nodiscard]] const JobAnswer *find(const RequestId &request) const;

    /** Stores a refusal. Returns false when the cache is full; the request must then stay unanswered. */
    bool add(const RequestId &request, const JobAnswer &answer, Instant now);

    /** Removes refusals that are old enough that no copy of their request can still arrive. */
    void expire(Instant now);

private:
    std::map<RequestId, JobAnswer> m_answers;
    std::deque<std::pair<Instant, RequestId>> m_order;
};

} // namespace lagoonroute
