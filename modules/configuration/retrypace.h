#pragma once

#include "seededrandom.h"

#include <algorithm>

namespace lagoonroute
{

/** Exponential back-off with jitter: half of each wait is random. */
class RetryPace
{
public:
    RetryPace(Duration smallest, Duration largest)
        : m_smallest(smallest)
        , m_largest(largest)
        , m_next(smallest)
    {
    }

    /** Forgets earlier failures. */
    void succeed()
    {
        m_next = m_smallest;
    }

    /** Returns how long to wait after one more failure. */
    Duration fail(SeededRandom &random)
    {
        const Duration wait = m_next / 2 + random.upTo(m_next / 2);
        m_next = std::min(m_next * 2, m_largest);
        return wait;
    }

private:
    Duration m_smallest;
    Duration m_largest;
    Duration m_next;
};

} // namespace lagoonroute
