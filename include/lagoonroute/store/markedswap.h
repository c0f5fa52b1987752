#pragma once

#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonroute
{

/** Returns a text that is unique to one write: the name and incarnation of the writer, and a sequence number. */
std::string makeWriteMark(std::string_view writer, std::uint64_t incarnation, std::uint64_t sequence);

/**
 * A compare-and-swap whose outcome is determined even when answers of the store are lost.
 *
 * The new value contains a unique mark, as returned by makeWriteMark(). After a lost answer the key is read. If its value
 * contains the mark, the swap was applied. If the key is still at the expected version, the identical swap is resent; the
 * store can apply only one of the copies. If values retain the marks of earlier writes, the swap is recognised as applied
 * even after other writers have changed the value.
 *
 * While state() is Swapping, the owner sends nextCall() with a call number of its choice and passes each answer to
 * handle().
 */
class MarkedSwap
{
public:
    /** Progress of the swap. */
    enum class State : std::uint8_t {
        Swapping, /**< Outcome not known yet; nextCall() must be sent. The owner chooses the delay after a failure. */
        Applied, /**< The store applied the swap. */
        Conflict, /**< Another write came first; current() returns the entry in the store. */
        Rejected, /**< The store or the client refused the swap, which had no effect. */
    };

    /** Creates a swap to a value that contains `mark`. */
    MarkedSwap(StoreSwap swap, std::string mark);

    /** Returns the call to send next: the swap, or a read that determines its outcome. */
    [[nodiscard]] StoreOperation nextCall() const;

    /** Handles the answer to the last call and returns the new state. */
    State handle(const StoreReply &reply);

    /** Returns the progress of the swap. */
    [[nodiscard]] State state() const noexcept
    {
        return m_state;
    }

    /** Returns the entry in the store's last answer; once Applied, the value written or a later one. */
    [[nodiscard]] const StoreEntry &current() const noexcept
    {
        return m_current;
    }

private:
    [[nodiscard]] bool containsMark(const StoreEntry &entry) const;
    State handleSwapReply(const StoreReply &reply);
    State handleReadReply(const StoreReply &reply);

    StoreSwap m_swap;
    std::string m_mark;
    State m_state = State::Swapping;
    bool m_mustRead = false; /**< The outcome of a sent swap is unknown, so the next call is a read. */
    bool m_mayBeApplied = false; /**< An answer was lost, so an earlier try may have been applied although a later one was rejected. */
    StoreEntry m_current;
};

} // namespace lagoonroute
