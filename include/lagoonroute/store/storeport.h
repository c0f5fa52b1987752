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
#include <vector>

namespace lagoonroute
{

/** Largest value that the platform's store accepts, in bytes. */
inline constexpr std::size_t maxStoreValueBytes = 1'000'000;

/** Version that the platform's store assigns to a value at each change; 0 means that the key does not exist. */
using StoreVersion = std::uint64_t;

/** A value in the platform's store and its version. */
struct StoreEntry
{
    std::string value;
    StoreVersion version = 0;

    auto operator<=>(const StoreEntry &) const = default;
};

/** Purpose of a call, by which the metrics count it. */
enum class StorePurpose : std::uint8_t {
    View,
    Configuration,
    Contact,
    Lease,
};

/** Reads a key. */
struct StoreRead
{
    std::string key;
};

/** Replaces a key's value if it still has the given version. */
struct StoreSwap
{
    std::string key;
    std::string value;
    StoreVersion expectedVersion = 0;
};

/** Waits until a key has a version above the given one, or until the wait ends. */
struct StoreWatch
{
    std::string key;
    StoreVersion knownVersion = 0;
    Duration wait{ 0 };
    bool isPrefix = false; /**< Whether `key` is a prefix: the watch then ends at a change of any key that begins with it, and its answer has no entry. */
};

/** Reads all keys that begin with a prefix, in the order of their bytes. The store may split the answer into pages. */
struct StoreList
{
    std::string prefix;
    std::string after; /**< Last key of the page before; empty for the first page. */
};

/** Acquires or renews a lease: a key that the store removes if its holder does not renew it in time. */
struct StoreLease
{
    std::string key;
    std::string holder;
    Duration term{ 0 };
};

/** One call of the platform's store. */
using StoreOperation = std::variant<StoreRead, StoreSwap, StoreWatch, StoreLease, StoreList>;

/** A call with its number and purpose. */
struct StoreCall
{
    std::uint64_t number = 0;
    StorePurpose purpose = StorePurpose::View;
    StoreOperation operation;
};

/** Result of a call to the store. */
enum class StoreStatus : std::uint8_t {
    Ok, /**< The key was read, swapped or changed, or the lease was granted. */
    NotFound, /**< The key does not exist. */
    Conflict, /**< The key has another version or the lease another holder; the answer contains the current entry. */
    Unchanged, /**< A watch ended without a change. */
    Rejected, /**< The store or the client's budget refused the call; it had no effect. */
    Unknown, /**< No answer arrived; the call may have taken effect. */
};

/** One key of the answer to a StoreList. */
struct StoreItem
{
    std::string key;
    std::optional<std::string> value; /**< No value if its encoding is malformed. */
    StoreVersion version = 0;

    auto operator<=>(const StoreItem &) const = default;
};

/** Answer to a StoreCall. */
struct StoreReply
{
    std::uint64_t number = 0;
    StoreStatus status = StoreStatus::Unknown;
    StoreEntry entry;
    StorePurpose purpose = StorePurpose::View; /**< As in the call; set by StoreClient. */
    StoreVersion asOf = 0; /**< Version of the whole store at the time of the answer, from which a watch can continue; 0 if unknown. */
    std::vector<StoreItem> items; /**< Answer to a StoreList. */
    bool isTruncated = false; /**< Whether further keys follow those in `items`. */
};

/**
 * Asynchronous adapter to the platform's store, used by a single thread.
 *
 * submit() returns false without sending the call if too many calls are pending. drain() passes the received answers to
 * a consumer. A call may remain unanswered; StoreClientCore applies the timeout.
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
