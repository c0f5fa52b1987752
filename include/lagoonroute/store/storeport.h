#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>

#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace lagoonroute
{

/** Largest value that the platform's store holds, in bytes. */
inline constexpr std::size_t maxStoreValueBytes = 1'000'000;

/** Number of a value's change in the platform's store; 0 means that the key does not exist. */
using StoreVersion = std::uint64_t;

/** A value in the platform's store. */
struct StoreEntry
{
    std::string value;
    StoreVersion version = 0;

    auto operator<=>(const StoreEntry &) const = default;
};

/** What a call counts as in the metrics and against the call budget. */
enum class StorePurpose : std::uint8_t {
    View,
    Configuration,
    Contact,
    Lease,
};

/** Read a key. */
struct StoreRead
{
    std::string key;
};

/** Replace a key's value if it still has the given version. */
struct StoreSwap
{
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0;
};

/** Wait until a key has a version above the given one, or until the wait ends. */
struct StoreWatch
{
    std::string key;
    StoreVersion knownVersion = 0;
    Duration wait{ 0 };
};

/** Take or renew a lease: a key that vanishes when its holder does not renew it in time. */
struct StoreLease
{
    std::string key;
    std::string holder;
    Duration term{ 0 };
};

/** One call of the platform's store. */
using StoreOperation = std::variant<StoreRead, StoreSwap, StoreWatch, StoreLease>;

/** A call with its number and purpose. */
struct StoreCall
{
    std::uint64_t number = 0;
    StorePurpose purpose = StorePurpose::View;
    StoreOperation operation;
};

/** How a call of the store ended. */
enum class StoreStatus : std::uint8_t {
    Ok, /**< Read, swapped, changed or granted. */
    NotFound, /**< The key does not exist. */
    Conflict, /**< Another version or another holder; the answer has the current entry. */
    Unchanged, /**< A watch ended without a change. */
    Rejected, /**< The store or the client's budget refused the call; it had no effect. */
    Unknown, /**< No answer came; the call may have taken effect. */
};

/** Answer to a StoreCall. */
struct StoreReply
{
    std::uint64_t number = 0;
    StoreStatus status = StoreStatus::Unknown;
    StoreEntry entry;
    StorePurpose purpose = StorePurpose::View; /**< As in the call; set by StoreClient. */
    StoreVersion asOf = 0; /**< Version of the whole store that the answer reflects, from which a watch may go on; 0 if not told. */
};

/**
 * Adapter to the platform's store. It is used by one thread, and the answers come later.
 *
 * submit() returns false, having sent nothing, when too many calls wait. drain() passes the answers that have come to
 * a consumer. A call may stay without an answer; StoreClientCore counts the time.
 */
template <typename T>
concept StorePort = requires(T port, StoreCall call)
{
    {
        port.submit(std::move(call))
        } -> std::convertible_to<bool>;
    port.drain([](StoreReply &&) {});
};

} // namespace lagoonroute
