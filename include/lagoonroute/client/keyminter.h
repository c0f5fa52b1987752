#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <random>
#include <string>

namespace lagoonroute
{

/**
 * Mints submission keys that carry their time (UUID version 7, RFC 9562).
 *
 * Such a key is refused for ever once it is older than the retention window, so that a job under it runs at most once
 * however late it is resubmitted.
 */
class KeyMinter
{
public:
    /** Creates a minter whose random bits come from the given seed. */
    explicit KeyMinter(std::uint64_t seed);

    /** Returns a new key that carries the given time. */
    std::string mint(WallTime now);

private:
    std::mt19937_64 m_random;
};

} // namespace lagoonroute
