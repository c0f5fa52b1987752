#pragma once

#include "processcore.h"

#include <lagoonroute/control/offerkeeper.h>
#include <lagoonroute/dispatch/agentcore.h>

#include <optional>
#include <vector>

namespace lagoonroute
{

/** Everything that an agent decides, the offers of its upstream included. */
class AgentProcess
{
public:
    using Cores = ProcessCore<AgentCore, AgentEvent, AgentAction>;
    using Event = Cores::Event;
    using Action = Cores::Action;

    /** Creates the cores of one life of the agent; an announcement of its upstream holds for `offerLifetime`. */
    AgentProcess(const ControlCore::Options &control, Duration offerLifetime);

    /** Handles one event and appends the actions it calls for. */
    void handle(const Event &event, Instant now, std::vector<Action> &actions);

    /** Returns the event that tells that time has passed. */
    static Event elapsed()
    {
        return Cores::elapsed();
    }

    /** Returns when handle(elapsed()) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Whether a planned stop was requested and no work is left. */
    [[nodiscard]] bool isDrained() const
    {
        return m_cores.isDrained();
    }

private:
    void updateOffers(const AgentEvent &event, Instant now, std::vector<Action> &actions);

    Cores m_cores;
    OfferKeeper m_offers;
};

} // namespace lagoonroute
