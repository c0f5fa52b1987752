#include <lagoonroute/client/submissionkeygenerator.h>

#include <array>
#include <cstdio>

namespace lagoonroute
{

SubmissionKeyGenerator::SubmissionKeyGenerator(std::uint64_t seed)
    : m_random(seed)
{
}

std::string SubmissionKeyGenerator::generate(WallTime now)
{
    constexpr std::uint64_t variantBits = 0x8000;
    const auto milliseconds = static_cast<std::uint64_t>(now.time_since_epoch().count());
    const std::uint64_t high = m_random();
    const std::uint64_t low = m_random();
    std::array<char, 37> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>(milliseconds >> 16U & 0xFFFFFFFFU),
                  static_cast<unsigned long long>(milliseconds & 0xFFFFU),
                  static_cast<unsigned long long>(high & 0xFFFU),
                  static_cast<unsigned long long>((high >> 12U & 0x3FFFU) | variantBits),
                  static_cast<unsigned long long>(low & 0xFFFFFFFFFFFFU));
    return text.data();
}

} // namespace lagoonroute
