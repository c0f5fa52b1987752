#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace lagoonroute
{

/** Part of a request from which a submission key is taken. */
enum class KeySource : std::uint8_t {
    IdempotencyKey, /**< The header Idempotency-Key. */
    Header, /**< The header named by the rule. */
    BodyPointer, /**< The member of the JSON body at the JSON pointer given by the rule. */
    BodyDigest, /**< The digest of the body; equal bodies from one caller are the same submission. */
};

/** A way to extract the submission key from a request. A service tries its rules in order and uses the first key found. */
struct KeyRule
{
    KeySource source = KeySource::IdempotencyKey;
    std::string name; /**< Header name or JSON pointer; empty for the other sources. */

    /** Returns a rule that takes the key from the header Idempotency-Key. */
    [[nodiscard]] static KeyRule idempotencyKey()
    {
        return {};
    }

    /** Returns a rule that takes the key from the header of the given name. */
    [[nodiscard]] static KeyRule header(std::string name)
    {
        return { KeySource::Header, std::move(name) };
    }

    /** Returns a rule that takes the key from the body, at the given JSON pointer, for example "/hold/reference". */
    [[nodiscard]] static KeyRule bodyPointer(std::string pointer)
    {
        return { KeySource::BodyPointer, std::move(pointer) };
    }

    /** Returns a rule that uses the digest of the body as the key. */
    [[nodiscard]] static KeyRule bodyDigest()
    {
        return { KeySource::BodyDigest, {} };
    }

    auto operator<=>(const KeyRule &) const = default;
};

} // namespace lagoonroute
