#pragma once

#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <utility>

namespace lagoonroute
{

/**
 * A value that a process persists in the platform's store for its next incarnation. It is read once at the start, and
 * written when it changes.
 *
 * After a write that conflicts or whose answer is lost, the key is read, and written again only if its value still
 * differs.
 */
class PersistedValue
{
public:
    /** Persists the value under the key, by calls with the given call number. */
    PersistedValue(std::string key, StorePurpose purpose, std::uint64_t callNumber, std::uint64_t seed);

    /** Sets the value to write to the store. */
    void set(std::string value);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Handles the answer to the pending call. The first read returns the value stored by an earlier incarnation, if there is one. */
    std::optional<std::string> handle(const StoreReply &reply, Instant now);

    /** Returns the time of the next call, or nothing if a call is pending or none is needed. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Returns the call number used for all calls of this value. */
    [[nodiscard]] std::uint64_t callNumber() const noexcept
    {
        return m_callNumber;
    }

private:
    std::string m_key;
    StorePurpose m_purpose;
    std::uint64_t m_callNumber;
    Backoff m_backoff;
    std::optional<std::string> m_desiredValue;
    StoreEntry m_stored; /**< Entry in the store as far as known; valid if m_isStoredEntryKnown. */
    bool m_isStoredEntryKnown = false; /**< False until the first read, and after a failed call until the next read. */
    bool m_hasReadOnce = false;
    bool m_isCallPending = false;
    bool m_wasLastCallSwap = false; /**< Whether the last call was a swap. */
    std::string m_sentValue; /**< Value written by the last swap. */
    Instant m_dueAt;
};

} // namespace lagoonroute
