#pragma once

#include <lagoonroute/store/storeclientcore.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace lagoonroute
{

/**
 * The one way of a process to the platform's store: a StoreClientCore in front of a port.
 *
 * Used by one thread. Every call is answered through drain(), with the purpose and number of the call.
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

    /** Makes a call; the answer comes through drain(). */
    void submit(const StoreCall &call, Instant now)
    {
        m_core.submit(call, now, m_actions);
        send();
    }

    /** Passes the answers that have come, and the calls that timed out, to `consume` as StoreReply. */
    template <typename Consumer>
    void drain(Instant now, Consumer &&consume)
    {
        m_port.drain([this, now](StoreReply &&reply) { m_core.handle(reply, now, m_actions); });
        m_core.elapse(now, m_actions);
        for (StoreReply &reply : std::exchange(m_actions.replies, {})) {
            consume(std::move(reply));
        }
    }

    /** Time at which drain() has something new unless an answer comes first. */
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

    /** The decisions of the client, for metrics. */
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
                m_core.notSent(number, m_actions);
            }
        }
    }

    StoreClientCore m_core;
    Port &m_port;
    StoreClientCore::Actions m_actions;
};

} // namespace lagoonroute
