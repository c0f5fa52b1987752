#include "mutator.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace lagoonroute::fuzz
{

namespace
{

constexpr std::size_t maxChanges = 8;
constexpr std::size_t maxLength = 64;

/** Boundary values of lengths and numbers, which decoders often handle incorrectly. */
constexpr std::array<std::uint32_t, 7> boundaryNumbers{ 0, 1, 0x7F, 0xFF, 0xFFFF, 0x7FFFFFFF, 0xFFFFFFFF };

/** JSON fragments whose type or range differs from the expected one. */
constexpr std::array<const char *, 12> jsonFragments{ "{}",   "[]",   "null",    "-1", "1e999",   "65536",
                                                      "\"\"", "true", "\\u0000", "[[", "{\"a\":", "18446744073709551616" };

} // namespace

Mutator::Mutator(std::vector<std::string> samples, std::uint64_t seed)
    : m_samples(std::move(samples))
    , m_random(seed)
{
}

std::string Mutator::next()
{
    std::string input = m_samples[randomBelow(m_samples.size())];
    std::size_t changes = 0;
    do {
        change(input);
        ++changes;
    } while (changes < maxChanges && randomBelow(2) == 0);
    return input;
}

void Mutator::change(std::string &input)
{
    const std::size_t position = randomBelow(input.size() + 1);
    const std::size_t length = std::min(randomBelow(maxLength), input.size() - position);
    switch (randomBelow(8)) {
    case 0:
        input.resize(position);
        break;
    case 1:
        input.erase(position, length);
        break;
    case 2:
        input.insert(position, input.substr(position, length));
        break;
    case 3: {
        const std::string &other = m_samples[randomBelow(m_samples.size())];
        input.insert(position, other.substr(randomBelow(other.size() + 1), length));
        break;
    }
    case 4: {
        const std::uint32_t number = boundaryNumbers[randomBelow(boundaryNumbers.size())];
        if (input.size() >= position + sizeof(number)) {
            std::memcpy(input.data() + position, &number, sizeof(number));
        }
        break;
    }
    case 5:
        input.insert(position, jsonFragments[randomBelow(jsonFragments.size())]);
        break;
    case 6:
        replaceJsonValue(input, position);
        break;
    default:
        if (position < input.size()) {
            input[position] = static_cast<char>(m_random());
        }
        break;
    }
}

void Mutator::replaceJsonValue(std::string &input, std::size_t position)
{
    const std::size_t before = input.find_first_of(":[", position);
    std::size_t depth = 0;
    for (std::size_t end = before; end < input.size(); ++end) {
        const char byte = input[end];
        const bool closes = byte == ']' || byte == '}';
        if (end > before && depth == 0 && (byte == ',' || closes)) {
            input.replace(before + 1, end - before - 1, jsonFragments[randomBelow(jsonFragments.size())]);
            return;
        }
        depth += end > before && (byte == '[' || byte == '{') ? 1 : 0;
        depth -= closes ? 1 : 0;
    }
}

std::size_t Mutator::randomBelow(std::size_t limit)
{
    return m_random() % limit;
}

} // namespace lagoonroute::fuzz
