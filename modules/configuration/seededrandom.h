#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <random>

namespace lagoonroute
{

/** Pseudo-random numbers, identical for the same seed on every platform. */
class SeededRandom
{
public:
    explicit SeededRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** Returns a number below `bound`, which must not be 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        return m_engine() % bound;
    }

    /** Returns a duration from zero to `longest`, inclusive. */
    Duration upTo(Duration longest)
    {
        return Duration(static_cast<Duration::rep>(below(static_cast<std::uint64_t>(longest.count()) + 1)));
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace lagoonroute
