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
constexpr std::size_t maxPieceBytes = 64;

/** Lengths and numbers on which decoders trip. */
constexpr std::array<std::uint32_t, 7> boundaryNumbers{ 0, 1, 0x7F, 0xFF, 0xFFFF, 0x7FFFFFFF, 0xFFFFFFFF };

/** Pieces of JSON that stand for another type than the one expected. */
constexpr std::array<const char *, 12> jsonPieces{ "{}",   "[]",   "null",    "-1", "1e999",   "65536",
                                                   "\"\"", "true", "\\u0000", "[[", "{\"a\":", "18446744073709551616" };

} // namespace

Mutator::Mutator(std::vector<std::string> samples, std::uint64_t seed)
    : m_samples(std::move(samples))
    , m_random(seed)
{
}

std::string Mutator::next()
{
    std::string input = m_samples[below(m_samples.size())];
    std::size_t changes = 0;
    do {
        change(input);
        ++changes;
    } while (changes < maxChanges && below(2) == 0);
    return input;
}

void Mutator::change(std::string &input)
{
    const std::size_t place = below(input.size() + 1);
    const std::size_t piece = std::min(below(maxPieceBytes), input.size() - place);
    switch (below(8)) {
    case 0:
        input.resize(place);
        break;
    case 1:
        input.erase(place, piece);
        break;
    case 2:
        input.insert(place, input.substr(place, piece));
        break;
    case 3: {
        const std::string &other = m_samples[below(m_samples.size())];
        input.insert(place, other.substr(below(other.size() + 1), piece));
        break;
    }
    case 4: {
        const std::uint32_t number = boundaryNumbers[below(boundaryNumbers.size())];
        if (input.size() >= place + sizeof(number)) {
            std::memcpy(input.data() + place, &number, sizeof(number));
        }
        break;
    }
    case 5:
        input.insert(place, jsonPieces[below(jsonPieces.size())]);
        break;
    case 6:
        replaceJsonValue(input, place);
        break;
    default:
        if (place < input.size()) {
            input[place] = static_cast<char>(m_random());
        }
        break;
    }
}

void Mutator::replaceJsonValue(std::string &input, std::size_t place)
{
    const std::size_t before = input.find_first_of(":[", place);
    std::size_t depth = 0;
    for (std::size_t end = before; end < input.size(); ++end) {
        const char byte = input[end];
        const bool closes = byte == ']' || byte == '}';
        if (end > before && depth == 0 && (byte == ',' || closes)) {
            input.replace(before + 1, end - before - 1, jsonPieces[below(jsonPieces.size())]);
            return;
        }
        depth += end > before && (byte == '[' || byte == '{') ? 1 : 0;
        depth -= closes ? 1 : 0;
    }
}

std::size_t Mutator::below(std::size_t limit)
{
    return m_random() % limit;
}

} // namespace lagoonroute::fuzz
