#pragma once

#include <lagoonroute/base/time.h>

#include <algorithm>

namespace lagoonroute
{

/** Allows a steady rate of calls and a burst on top. */
class TokenBucket
{
public:
    /** Creates a full bucket of `burst` tokens, filled at `perSecond`. */
    TokenBucket(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /** Takes a token. Returns false when there is none. */
    bool take(Instant now)
    {
        const std::chrono::duration<double> passed = now - m_filled;
        m_filled = now;
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
    Instant m_filled;
};

} // namespace lagoonroute
