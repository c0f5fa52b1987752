#pragma once

#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <utility>

namespace lagoonroute
{

/**
 * Follows one key of the platform's store: reads it, then watches it from the store version of the last answer.
 *
 * The key is read again when a watch fails, or when the store no longer has the history from which the watch starts, so
 * that no change is missed for longer than one watch. A store that retains its history for a limited time refuses a
 * watch from its newest version once that version is too old. The key is then polled until the store changes.
 */
class KeyFollower
{
public:
    /** The key to follow, and the timing of the calls. */
    struct Options
    {
        std::string key;
        StorePurpose purpose = StorePurpose::Configuration;
        Duration watchWait = std::chrono::milliseconds(1500); /**< Longest wait of a watch, after which an unresponsive connection is noticed. */
        Duration pollInterval = std::chrono::milliseconds(1000); /**< Interval between reads while the store refuses the watch. */
        Duration firstBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(1000);
        std::uint64_t seed = 1;

        Options withKey(std::string name, StorePurpose callPurpose) const;
        Options withWatchWait(Duration wait) const;
        Options withPollInterval(Duration interval) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Creates a follower that makes all its calls with the given call number. */
    KeyFollower(Options options, std::uint64_t callNumber);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Handles the answer to the pending call. Returns the entry if it is newer than the last one. */
    std::optional<StoreEntry> handle(const StoreReply &reply, Instant now);

    /** Returns the time of the next call, or nothing while a call is pending. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Schedules a read, to be made as soon as no call is pending. */
    void refresh(Instant now);

    /** Returns the newest entry received; its version is 0 until there is one. */
    [[nodiscard]] const StoreEntry &entry() const noexcept
    {
        return m_entry;
    }

    /** Returns whether the store answered the last call. */
    [[nodiscard]] bool isInContact() const noexcept
    {
        return m_isInContact;
    }

    /** Returns the call number used for all calls of this follower. */
    [[nodiscard]] std::uint64_t callNumber() const noexcept
    {
        return m_callNumber;
    }

private:
    Options m_options;
    std::uint64_t m_callNumber;
    Backoff m_backoff;
    StoreEntry m_entry;
    StoreVersion m_position = 0; /**< Store version from which the next watch continues; 0 if the key must be read first. */
    std::optional<StoreVersion> m_refusedPosition; /**< Store version from which the store refused a watch. */
    bool m_isCallPending = false;
    bool m_isInContact = false;
    Instant m_dueAt;
};

} // namespace lagoonroute
