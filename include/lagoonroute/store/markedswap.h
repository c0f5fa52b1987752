#pragma once

#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lagoonroute
{

/** Returns a text that no other write carries: the writer's name, the life of its process, and a number of its own. */
std::string makeWriteMark(std::string_view writer, std::uint64_t life, std::uint64_t sequence);

/**
 * One compare-and-swap whose outcome is found out even when the store's answers are lost.
 *
 * The value contains a mark of its own, as makeWriteMark() returns it. After a lost answer the value is read: with the
 * mark in it the swap took effect; at the expected version the very same swap is sent again, of which the store can
 * apply only one. Values that keep the marks of some earlier writes are recognised even after others wrote.
 *
 * The owner sends nextCall() whenever there is one, under a number of its own, and passes every answer to handle().
 */
class MarkedSwap
{
public:
    /** How far the swap is. */
    enum class State : std::uint8_t {
        Swapping, /**< Not known yet; nextCall() is to be sent, at a pace that the owner chooses after a failure. */
        Applied, /**< It took effect. */
        Conflict, /**< Another write came first; current() is what the store holds. */
        Rejected, /**< The store or the client refused it before any effect. */
    };

    /** Creates a swap to a value that contains `mark`. */
    MarkedSwap(StoreSwap swap, std::string mark);

    /** The call to send next: the swap, or a read to find out what became of it. */
    [[nodiscard]] StoreOperation nextCall() const;

    /** Takes the answer to the last call. */
    State handle(const StoreReply &reply);

    /** How far the swap is. */
    [[nodiscard]] State state() const noexcept
    {
        return m_state;
    }

    /** What the store held at its last answer; after Applied, the value written or a later one. */
    [[nodiscard]] const StoreEntry &current() const noexcept
    {
        return m_current;
    }

private:
    [[nodiscard]] bool isMine(const StoreEntry &entry) const;
    State handleSwapped(const StoreReply &reply);
    State handleRead(const StoreReply &reply);

    StoreSwap m_swap;
    std::string m_mark;
    State m_state = State::Swapping;
    bool m_mustRead = false; /**< A sent swap has no answer yet. */
    bool m_mayBeInEffect = false; /**< An answer was lost: a refusal of a later try proves nothing about earlier ones. */
    StoreEntry m_current;
};

} // namespace lagoonroute
