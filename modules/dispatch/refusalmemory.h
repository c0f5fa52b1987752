#pragma once

#include <lagoonroute/dispatch/messages.h>

#include <deque>
#include <map>
#include <utility>

namespace lagoonroute
{

/**
 * Remembers refused requests for a while, so that a repeated or late copy of one is not admitted after its caller was
 * told "not run".
 */
class RefusalMemory
{
public:
    /** Returns the answer to a refused request, or null. */
    [[nodiscard]] const JobAnswer *find(const RequestId &request) const;

    /** Remembers a refusal. Returns false when there is no room: the request must then stay unanswered. */
    bool remember(const RequestId &request, const JobAnswer &answer, Instant now);

    /** Forgets what no copy can follow any more. */
    void expire(Instant now);

private:
    std::map<RequestId, JobAnswer> m_answers;
    std::deque<std::pair<Instant, RequestId>> m_order;
};

} // namespace lagoonroute
