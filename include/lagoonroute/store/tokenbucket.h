#pragma once

#include <lagoonroute/base/time.h>

#include <algorithm>

namespace lagoonroute
{

/** Token bucket: limits calls to a steady rate plus a burst. */
class TokenBucket
{
public:
    /** Creates a full bucket of `burst` tokens, refilled with `perSecond` tokens a second. */
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** Takes a token and returns true, or returns false if the bucket is empty. */
    bool take(Instant now)
    {
        const std::chrono::duration<double> passed = now - m_lastRefill;
        m_lastRefill = now;
        m_tokens = std::min(m_burst, m_tokens + (passed.count() * m_perSecond));
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    Instant m_lastRefill;
};

} // namespace lagoonroute
