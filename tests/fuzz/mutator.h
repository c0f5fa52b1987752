#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lagoonroute::fuzz
{

/** Makes malformed inputs out of well-formed ones; the same seed makes the same inputs. */
class Mutator
{
public:
    /** Creates a mutator over the samples, of which there must be one at least. */
    Mutator(std::vector<std::string> samples, std::uint64_t seed);

    /** Returns the next input: a sample with one to eight changes. */
    std::string next();

private:
    void change(std::string &input);
    void replaceJsonValue(std::string &input, std::size_t place);
    std::size_t below(std::size_t limit);

    std::vector<std::string> m_samples;
    std::mt19937_64 m_random;
};

} // namespace lagoonroute::fuzz
