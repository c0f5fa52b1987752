#pragma once

#include <lagoonroute/base/wakesignal.h>

#include <boost/lockfree/spsc_queue.hpp>

#include <iterator>
#include <thread>
#include <utility>

namespace lagoonroute
{

/** Something that wakes a consumer. */
template <typename T>
concept Notifiable = requires(T signal)
{
    signal.notify();
};

/**
 * Bounded queue from exactly one producing thread to exactly one consuming thread.
 *
 * A full ring refuses the value, so that the producer can refuse its own input truthfully. Every push notifies the
 * signal on which the consumer waits: a WakeSignal for a thread that blocks, or an adapter of an event loop.
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

    /** Appends the value. Returns false when the ring is full. */
    bool push(T &&value)
    {
        return offer(value);
    }

    /** Moves the value in. Returns false, and leaves `value` as it was, when the ring is full. */
    bool offer(T &value)
    {
        if (!moveIn(value)) {
            return false;
        }
        m_signal.notify();
        return true;
    }

    /** Appends the value, waiting on this thread while the ring is full. */
    void pushBlocking(T &&value)
    {
        while (!moveIn(value)) {
            std::this_thread::yield();
        }
        m_signal.notify();
    }

    /** Passes every value now in the ring to `consume`, oldest first. Returns how many there were. */
    template <typename Consumer>
    std::size_t drain(Consumer &&consume)
    {
        return m_queue.consume_all([&consume](T &value) { consume(std::move(value)); });
    }

private:
    /** Moves the value in when there is room. The queue's own push of one value would copy it. */
    bool moveIn(T &value)
    {
        const auto first = std::make_move_iterator(&value);
        return m_queue.push(first, first + 1) != first;
    }

    boost::lockfree::spsc_queue<T> m_queue;
    Signal &m_signal;
};

} // namespace lagoonroute
