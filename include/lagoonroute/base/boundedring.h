#pragma once

#include <lagoonroute/base/wakesignal.h>

#include <boost/lockfree/spsc_queue.hpp>

#include <iterator>
#include <thread>
#include <utility>

namespace lagoonroute
{

/** Type with a notify() function that wakes a consumer. */
template <typename T>
concept Notifiable = requires(T signal)
{
    signal.notify();
};

/**
 * Bounded queue from exactly one producing thread to exactly one consuming thread.
 *
 * A full ring rejects the value without storing it, so that the producer can reject the corresponding input
 * and be sure that it was not processed. Every push notifies the signal on which the consumer waits: a WakeSignal for a
 * thread that blocks, or an adapter that schedules work on an event loop.
 */
template <typename T, Notifiable Signal = WakeSignal>
class BoundedRing
{
public:
    /** Creates a ring for at most `capacity` values whose consumer waits on `signal`. */
    BoundedRing(std::size_t capacity, Signal &signal)
        : m_queue(capacity)
        , m_signal(signal)
    {
    }

    /** Appends the value. Returns false if the ring is full. */
    bool push(T &&value)
    {
        return offer(value);
    }

    /** Appends the value by moving from it. Returns false and leaves `value` unchanged if the ring is full. */
    bool offer(T &value)
    {
        if (!tryMoveIn(value)) {
            return false;
        }
        m_signal.notify();
        return true;
    }

    /** Appends the value. Blocks the calling thread while the ring is full. */
    void pushBlocking(T &&value)
    {
        while (!tryMoveIn(value)) {
            std::this_thread::yield();
        }
        m_signal.notify();
    }

    /** Passes every value in the ring to `consume`, oldest first. Returns their number. */
    template <typename Consumer>
    std::size_t drain(Consumer &&consume)
    {
        return m_queue.consume_all([&consume](T &value) { consume(std::move(value)); });
    }

private:
    /** Appends the value if the ring is not full. The queue's push() for a single value would copy it. */
    bool tryMoveIn(T &value)
    {
        const auto first = std::make_move_iterator(&value);
        return m_queue.push(first, first + 1) != first;
    }

    boost::lockfree::spsc_queue<T> m_queue;
    Signal &m_signal;
};

} // namespace lagoonroute
