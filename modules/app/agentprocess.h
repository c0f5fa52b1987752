#pragma once

#include "processcore.h"

#include <lagoonroute/control/offerregistry.h>
#include <lagoonroute/dispatch/agentcore.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** Decision logic of an agent, including the offers of its upstream. */
class AgentProcess
{
public:
    using Cores = ProcessCore<AgentCore, AgentEvent, AgentAction>;
    using Event = Cores::Event;
    using Action = Cores::Action;

    /** Creates the cores of one incarnation of the agent; an announcement of its upstream is valid for `offerLifetime`. */
    AgentProcess(const ControlCore::Options &control, Duration offerLifetime);

    /** Handles one event and appends the resulting actions. */
    void handle(const Event &event, Instant now, std::vector<Action> &actions);

    /** Returns the event that triggers due timers. */
    static Event elapsed()
    {
        return Cores::elapsed();
    }

    /** Returns the time of the next call of handle(elapsed()), or nothing when no timer is pending. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /**
     * Returns whether a planned stop was requested, no work is left, and every shard is handed over. An agent whose
     * handover timed out, for example because the store is unavailable, counts as drained without it.
     */
    [[nodiscard]] bool isDrained() const
    {
        return m_cores.isDrained() && (m_cores.control().isHandedOver() || m_isHandoverTimedOut);
    }

    /** Returns whether a configuration is in force that the agent may serve under. */
    [[nodiscard]] bool isReady() const
    {
        return m_cores.control().isReady();
    }

    /** Returns the cores of the agent. */
    [[nodiscard]] const Cores &cores() const noexcept
    {
        return m_cores;
    }

private:
    void updateOffers(const AgentEvent &event, Instant now, std::vector<Action> &actions);

    void reportMirrors(Instant now, std::vector<Action> &actions);

    Cores m_cores;
    NodeId m_self;
    std::map<ShardKey, std::pair<Epoch, bool>> m_reportedMirrors;
    OfferRegistry m_offers;
    std::optional<Instant> m_handoverDeadline;
    bool m_isHandoverTimedOut = false;
};

} // namespace lagoonroute
