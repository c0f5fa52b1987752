#pragma once

#include <lagoonroute/base/wakesignal.h>
#include <lagoonroute/store/storeport.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lagoonroute
{

/** Calls a StorePort and waits for the answer on the calling thread: for commands, which do one thing at a time. */
template <StorePort Port>
class WaitingStore
{
public:
    /** Creates a store over the port; `signal` is the one that the port notifies. Both must outlive it. */
    WaitingStore(Port &port, WakeSignal &signal, Duration timeout)
        : m_port(port)
        , m_signal(signal)
        , m_timeout(timeout)
    {
    }

    /** Makes the call. Returns Unknown when no answer comes in time; an answer that comes later is dropped. */
    StoreReply call(const StoreCall &call)
    {
        StoreCall numbered = call;
        numbered.number = ++m_lastNumber; // The caller's numbers may repeat, and a late answer must not be taken for another.
        if (!m_port.submit(std::move(numbered))) {
            return { call.number, StoreStatus::Rejected, {} };
        }
        StoreReply reply = wait();
        reply.number = call.number;
        return reply;
    }

private:
    StoreReply wait()
    {
        const Instant deadline = MonotonicClock::now() + m_timeout;
        while (true) {
            std::optional<StoreReply> answer;
            m_port.drain([&](StoreReply &&reply) {
                if (reply.number == m_lastNumber) {
                    answer = std::move(reply);
                }
            });
            if (answer) {
                return *std::move(answer);
            }
            if (MonotonicClock::now() >= deadline) {
                return { m_lastNumber, StoreStatus::Unknown, {} };
            }
            m_signal.waitUntil(std::min(deadline, nextWake().value_or(deadline)));
        }
    }

    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        if constexpr (requires { m_port.nextWake(); }) {
            return m_port.nextWake();
        } else {
            return std::nullopt;
        }
    }

    Port &m_port;
    WakeSignal &m_signal;
    Duration m_timeout;
    std::uint64_t m_lastNumber = 0;
};

} // namespace lagoonroute
