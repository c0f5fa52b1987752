#pragma once

#include <lagoonroute/base/time.h>

#include <algorithm>
#include <cstdint>
#include <random>

namespace lagoonroute
{

/** Exponential back-off with jitter: each delay is random between half the bound and the bound, which then doubles. */
class Backoff
{
public:
    /** Creates a back-off whose bound doubles from `first` up to `limit`. */
    Backoff(Duration first, Duration limit, std::uint64_t seed)
        : m_first(first)
        , m_limit(limit)
        , m_bound(first)
        , m_random(seed)
    {
    }

    /** Returns the delay before the next attempt, and doubles the bound. */
    Duration next()
    {
        const Duration half = m_bound / 2;
        const auto jitter = static_cast<Duration::rep>(m_random() % static_cast<std::uint64_t>(half.count() + 1));
        m_bound = std::min(m_bound * 2, m_limit);
        return half + Duration(jitter);
    }

    /** Resets the bound to its first value; to be called after a success. */
    void reset()
    {
        m_bound = m_first;
    }

private:
    Duration m_first;
    Duration m_limit;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace lagoonroute
