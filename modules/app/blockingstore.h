#pragma once

#include <lagoonroute/base/wakesignal.h>
#include <lagoonroute/store/storeport.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lagoonroute
{

/** Calls a StorePort and blocks the calling thread until the answer arrives; for commands, which make one call at a time. */
template <StorePort Port>
class BlockingStore
{
public:
    /** Creates a store over the port, which notifies `signal` of its answers. Both must outlive the store. */
    BlockingStore(Port &port, WakeSignal &signal, Duration timeout)
        : m_port(port)
        , m_signal(signal)
        , m_timeout(timeout)
    {
    }

    /** Makes the call. Returns Rejected when the port does not accept it and Unknown when it times out; a later answer is dropped. */
    StoreReply call(const StoreCall &call)
    {
        StoreCall numbered = call;
        numbered.number = ++m_lastNumber; // The caller's numbers may repeat, and a late answer must not match a later call.
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
