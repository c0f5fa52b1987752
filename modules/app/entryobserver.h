#pragma once

#include "controlobserver.h"
#include "processcore.h"

#include <lagoonroute/dispatch/entrycore.h>
#include <lagoonroute/observation/metrics.h>

#include <string>
#include <unordered_map>

namespace lagoonroute
{

/** Decision logic of an entry. */
using EntryProcess = ProcessCore<EntryCore, EntryEvent, EntryAction>;

/** Logs the events and actions of an entry and counts them in metrics. Used on the decision thread only. */
class EntryObserver
{
public:
    /** Creates an observer that updates the given metrics and status; both must outlive it. */
    EntryObserver(MetricsRegistry &metrics, NodeStatus &status);

    /** Records an event before the core handles it. */
    void observe(const EntryProcess::Event &event, Instant now);

    /** Records an action before it is performed. */
    void observe(const EntryProcess::Action &action, Instant now);

    /** Publishes the state of the cores as metrics. */
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
    std::unordered_map<std::uint64_t, OpenRequest> m_openRequests;
};

} // namespace lagoonroute
