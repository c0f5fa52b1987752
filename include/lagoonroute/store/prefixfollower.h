#pragma once

#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** All keys of a prefix at one time. */
struct StoreListing
{
    StoreVersion version = 0; /**< Version of the whole store from which changes may be missing. */
    std::vector<StoreItem> items;

    auto operator<=>(const StoreListing &) const = default;
};

/**
 * Follows all keys of the platform's store that begin with a prefix: lists them, then watches the prefix from the version
 * of the list, and lists them again at each change.
 *
 * A watch reports changes of single keys, and a late answer would report old ones; so an answer to a watch only causes the
 * next list. Lists are also made after a failed watch and, at intervals, while the store refuses the watch.
 */
class PrefixFollower
{
public:
    /** The prefix to follow, and the timing of the calls. */
    struct Options
    {
        std::string prefix;
        StorePurpose purpose = StorePurpose::Configuration;
        Duration watchWait = std::chrono::milliseconds(1500); /**< Longest wait of a watch, after which an unresponsive connection is noticed. */
        Duration pollInterval = std::chrono::milliseconds(1000); /**< Interval between lists while the store refuses the watch. */
        Duration firstBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(1000);
        std::uint64_t seed = 1;

        Options withPrefix(std::string name, StorePurpose callPurpose) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Creates a follower that makes all its calls with the given call number. */
    PrefixFollower(Options options, std::uint64_t callNumber);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Handles the answer to the pending call. Returns the list if it is complete with this answer. */
    std::optional<StoreListing> handle(const StoreReply &reply, Instant now);

    /** Returns the time of the next call, or nothing while a call is pending. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Returns the call number used for all calls of this follower. */
    [[nodiscard]] std::uint64_t callNumber() const noexcept
    {
        return m_callNumber;
    }

private:
    std::optional<StoreListing> handlePage(const StoreReply &reply, Instant now);
    void retry(Instant now);

    Options m_options;
    std::uint64_t m_callNumber;
    Backoff m_backoff;
    StoreVersion m_position = 0; /**< Store version from which the next watch continues; 0 if the prefix must be listed first. */
    std::optional<StoreVersion> m_refusedPosition; /**< Store version from which the store refused a watch. */
    StoreListing m_partial; /**< Pages received so far. */
    bool m_isCallPending = false;
    bool m_isListing = false; /**< Whether the pending call, or the last one, is a list. */
    Instant m_dueAt;
};

} // namespace lagoonroute
