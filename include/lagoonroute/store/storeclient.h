#pragma once

#include <lagoonroute/store/storeclientcore.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lagoonroute
{

/**
 * Client through which a process makes all its calls to the platform's store: a StoreClientCore and a port.
 *
 * It is used by a single thread. Every call is answered through drain(), with the purpose and number of the call.
 */
template <StorePort Port>
class StoreClient
{
public:
    /** Creates a client of the port, which must outlive it. */
    StoreClient(const StoreClientCore::Options &options, Port &port)
        : m_core(options)
        , m_port(port)
    {
    }

    /** Makes a call; drain() returns its answer. */
    void submit(const StoreCall &call, Instant now)
    {
        m_core.submit(call, now, m_actions);
        send();
    }

    /** Passes a StoreReply to `consume` for every call that was answered, rejected or timed out. */
    template <typename Consumer>
    void drain(Instant now, Consumer &&consume)
    {
        m_port.drain([this, now](StoreReply &&reply) { m_core.handle(reply, now, m_actions); });
        m_core.handleTimers(now, m_actions);
        for (StoreReply &reply : std::exchange(m_actions.replies, {})) {
            consume(std::move(reply));
        }
    }

    /** Returns the time at which drain() has the next reply if no answer of the store arrives before. */
    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        if (!m_actions.replies.empty()) {
            return Instant{};
        }
        std::optional<Instant> wake = m_core.nextWake();
        if constexpr (requires { m_port.nextWake(); }) {
            const std::optional<Instant> due = m_port.nextWake();
            if (due) {
                wake = wake ? std::min(*wake, *due) : due;
            }
        }
        return wake;
    }

    /** Returns the core, whose call counts and circuit state are published as metrics. */
    [[nodiscard]] const StoreClientCore &core() const noexcept
    {
        return m_core;
    }

private:
    void send()
    {
        for (StoreCall &call : std::exchange(m_actions.calls, {})) {
            const std::uint64_t number = call.number;
            if (!m_port.submit(std::move(call))) {
                m_core.rejectUnsent(number, m_actions);
            }
        }
    }

    StoreClientCore m_core;
    Port &m_port;
    StoreClientCore::Actions m_actions;
};

} // namespace lagoonroute
