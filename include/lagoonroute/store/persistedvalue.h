#pragma once

#include <lagoonroute/store/backoff.h>
#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <utility>

namespace lagoonroute
{

/**
 * A value that one process keeps in the platform's store for its next life: read once, and written when it changes.
 *
 * A write whose answer is lost, or that conflicts, leads to a read, and is made again only if the value still differs.
 */
class PersistedValue
{
public:
    /** Keeps the value under the key, by calls with the given number. */
    PersistedValue(std::string key, StorePurpose purpose, std::uint64_t callNumber, std::uint64_t seed);

    /** Sets what the store is to hold. */
    void set(std::string value);

    /** Returns the call to make now, if one is due. */
    std::optional<StoreCall> next(Instant now);

    /** Takes the answer to its call. Returns the value that an earlier life has left, once. */
    std::optional<std::string> handle(const StoreReply &reply, Instant now);

    /** Time of the next call unless an answer comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number that its calls carry. */
    [[nodiscard]] std::uint64_t callNumber() const noexcept
    {
        return m_callNumber;
    }

private:
    std::string m_key;
    StorePurpose m_purpose;
    std::uint64_t m_callNumber;
    Backoff m_backoff;
    std::optional<std::string> m_wanted;
    StoreEntry m_stored;
    bool m_isRead = false;
    bool m_wasEverRead = false;
    bool m_isUnderWay = false;
    bool m_isSwap = false; // the call under way
    std::string m_sent; // by the swap under way
    Instant m_dueAt;
};

} // namespace lagoonroute
