#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <random>
#include <string>

namespace lagoonroute
{

/**
 * Generates submission keys that contain their creation time (UUID version 7, RFC 9562).
 *
 * A key older than the retention window is always refused, so that a job runs at most once no matter how late it is
 * resubmitted.
 */
class SubmissionKeyGenerator
{
public:
    /** Creates a generator whose random bits come from the given seed. */
    explicit SubmissionKeyGenerator(std::uint64_t seed);

    /** Returns a new key that contains the given time. */
    std::string generate(WallTime now);

private:
    std::mt19937_64 m_random;
};

} // namespace lagoonroute
