#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace lagoonroute
{

/** Where a submission key is taken from. */
enum class KeySource : std::uint8_t {
    IdempotencyKey, /**< The header Idempotency-Key. */
    Header, /**< A header that the rule names. */
    BodyPointer, /**< The member of the JSON body at the JSON pointer that the rule names. */
    BodyDigest, /**< The digest of the body: equal bodies of one caller count as one submission. */
};

/** One way to find the submission key of a request. A service tries its rules in order and takes the first key found. */
struct KeyRule
{
    KeySource source = KeySource::IdempotencyKey;
    std::string name; /**< The header's name or the JSON pointer; empty for the other sources. */

    /** Takes the header Idempotency-Key. */
    [[nodiscard]] static KeyRule idempotencyKey()
    {
        return {};
    }

    /** Takes the header of the given name. */
    [[nodiscard]] static KeyRule header(std::string name)
    {
        return { KeySource::Header, std::move(name) };
    }

    /** Takes the member of the body at the given JSON pointer, for example "/hold/reference". */
    [[nodiscard]] static KeyRule bodyPointer(std::string pointer)
    {
        return { KeySource::BodyPointer, std::move(pointer) };
    }

    /** Takes the digest of the body. */
    [[nodiscard]] static KeyRule bodyDigest()
    {
        return { KeySource::BodyDigest, {} };
    }

    auto operator<=>(const KeyRule &) const = default;
};

} // namespace lagoonroute
