#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute::fuzz
{

/** Generates malformed inputs from well-formed samples. The same seed generates the same inputs. */
class Mutator
{
public:
    /** Creates a mutator for the samples; at least one is required. */
    Mutator(std::vector<std::string> samples, std::uint64_t seed);

    /** Returns the next input: a sample with one to eight changes. */
    std::string next();

private:
    void change(std::string &input);
    void replaceJsonValue(std::string &input, std::size_t position);
    std::size_t randomBelow(std::size_t limit);

    std::vector<std::string> m_samples;
    std::mt19937_64 m_random;
};

} // namespace lagoonroute::fuzz
