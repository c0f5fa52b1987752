#pragma once

#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <utility>

namespace lagoonroute
{

/**
 * Follows one key of the platform's store: a read, then watches from where the last answer ended.
 *
 * A watch that fails, or whose history is gone, leads to a read, so that no change is missed for longer than one watch. A
 * store that keeps its history for a while only cannot be watched from its newest version when that is old: it is then
 * read from time to time until it changes.
 */
class KeyFollower
{
public:
    /** Key and times. */
    struct Options
    {
        std::string key;
        StorePurpose purpose = StorePurpose::Configuration;
        Duration watchWait = std::chrono::milliseconds(1500); /**< A connection that went silent is noticed after this. */
        Duration pollInterval = std::chrono::milliseconds(1000); /**< Between reads while the store refuses the watch. */
        Duration firstBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(1000);
        std::uint64_t seed = 1;

        Options withKey(std::string name, StorePurpose reason) const;
        Options withWatchWait(Duration wait) const;
        Options withPollInterval(Duration interval) const;
        Options withSeed(std::uint64_t value) const;
    };

    /** Creates a follower whose calls carry the given number. */
    KeyFollower(Options options, std::uint64_t callNumber);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Takes the answer to its call. Returns the entry when it is newer than the last one. */
    std::optional<StoreEntry> handle(const StoreReply &reply, Instant now);

    /** Time of the next call unless an answer comes first; none while one is under way. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Asks for a read as soon as no call is under way. */
    void refresh(Instant now);

    /** The newest entry; version 0 while none has been seen. */
    [[nodiscard]] const StoreEntry &entry() const noexcept
    {
        return m_entry;
    }

    /** Whether the last call was answered. */
    [[nodiscard]] bool isInContact() const noexcept
    {
        return m_isInContact;
    }

    /** Number that its calls carry. */
    [[nodiscard]] std::uint64_t callNumber() const noexcept
    {
        return m_callNumber;
    }

private:
    Options m_options;
    std::uint64_t m_callNumber;
    Backoff m_backoff;
    StoreEntry m_entry;
    StoreVersion m_position = 0; // from which the next watch goes on; 0 to read first
    std::optional<StoreVersion> m_refusedPosition; // from which the store has refused a watch
    bool m_isUnderWay = false;
    bool m_isInContact = false;
    Instant m_dueAt;
};

} // namespace lagoonroute
