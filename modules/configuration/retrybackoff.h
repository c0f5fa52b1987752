#pragma once

#include "seededrandom.h"

#include <algorithm>

namespace lagoonroute
{

/** Exponential back-off with jitter: up to half of each delay is random. */
class RetryBackoff
{
public:
    RetryBackoff(Duration smallest, Duration largest)
        : m_smallest(smallest)
        , m_largest(largest)
        , m_next(smallest)
    {
    }

    /** Resets the delay after a success. */
    void reset()
    {
        m_next = m_smallest;
    }

    /** Returns the delay before the next attempt after a failure, and doubles the following one up to the limit. */
    Duration nextDelay(SeededRandom &random)
    {
        const Duration delay = m_next / 2 + random.upTo(m_next / 2);
        m_next = std::min(m_next * 2, m_largest);
        return delay;
    }

private:
    Duration m_smallest;
    Duration m_largest;
    Duration m_next;
};

} // namespace lagoonroute
