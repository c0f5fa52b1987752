#pragma once

#include "controlobserver.h"
#include "processcore.h"

#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/observation/metrics.h>

#include <string>
#include <unordered_map>

namespace lagoonroute
{

/** Everything that an entry decides. */
using EntryProcess = ProcessCore<EntryCore, EntryEvent, EntryAction>;

/** Logs and counts what an entry hears and decides. Used on the deciding thread only. */
class EntryObserver
{
public:
    /** Creates an observer that counts in the given registry; both arguments must outlive it. */
    EntryObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Notes an event before the core handles it. */
    void observe(const EntryProcess::Event &event, Instant now);

    /** Notes an action before it is carried out. */
    void observe(const EntryProcess::Action &action, Instant now);

    /** Shows the state of the cores as metrics. */
    void publish(const EntryProcess &process);

private:
    struct OpenRequest
    {
        std::string key;
        std::string service;
        Instant since;
    };

    void observeEvent(const EntryEvent &event, Instant now);
    void observeAnswer(const AnswerCaller &answer, Instant now);

    MetricsRegistry &m_metrics;
    ControlObserver m_control;
    std::unordered_map<std::uint64_t, OpenRequest> m_open;
};

} // namespace lagoonroute
