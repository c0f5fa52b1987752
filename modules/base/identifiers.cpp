#include <lagoonroute/base/identifiers.h>

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace lagoonroute
{

NodeId NodeId::fromName(std::string_view name)
{
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    return NodeId{ hash == 0 ? 1 : hash };
}

Digest Digest::of(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return Digest{ hash.high64, hash.low64 };
}

std::string Digest::toString() const
{
    constexpr std::size_t digits = 32;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high), static_cast<unsigned long long>(low));
    return { text.data(), digits };
}

JobId JobId::fromSubmission(std::string_view service, std::string_view caller, std::string_view key)
{
    std::string identity;
    identity.reserve(service.size() + caller.size() + key.size() + 2);
    identity.append(service).push_back('\0');
    identity.append(caller).push_back('\0');
    identity.append(key);
    return JobId{ Digest::of(identity) };
}

std::string JobId::toString() const
{
    return digest.toString();
}

} // namespace lagoonroute
