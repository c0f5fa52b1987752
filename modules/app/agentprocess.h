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

    /**
     * Whether a planned stop was requested, no work is left, and every shard is handed over or the store did not allow
     * that in time.
     */
    [[nodiscard]] bool isDrained() const
    {
        return m_cores.isDrained() && (m_cores.control().isHandedOver() || m_isHandoverGivenUp);
    }

    /** Whether the process has a configuration that it may serve under. */
    [[nodiscard]] bool isReady() const
    {
        return m_cores.control().isReady();
    }

    /** The cores within. */
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
    std::optional<Instant> m_handoverLimit;
    bool m_isHandoverGivenUp = false;
};

} // namespace lagoonroute
