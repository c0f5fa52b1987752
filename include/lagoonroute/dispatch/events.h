#pragma once

#include <lagoonroute/base/commonevents.h>
#include <lagoonroute/configuration/servicerules.h>
#include <lagoonroute/dispatch/messages.h>
#include <lagoonroute/placement/workerstate.h>

#include <optional>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** A message of another process, or of another core in this process, has arrived. */
struct MessageReceived
{
    NodeId from;
    DispatchMessage message;
};

/** The connection to a node broke; messages in flight to or from it may be lost. */
struct ConnectionLost
{
    NodeId peer;
};

/** A worker offers a service, or its known state changed. */
struct WorkerChanged
{
    std::string service;
    WorkerState worker;
};

/** This incarnation of a worker has ended, or it no longer offers the service. */
struct WorkerRemoved
{
    std::string service;
    NodeId node;
    Incarnation incarnation = 0;
};

/** Rules for a service are in force. */
struct RulesChanged
{
    ServiceRules rules;
};

/** The current calendar time, reported at the start and every few minutes. Steps backwards are ignored. */
struct WallClockRead
{
    WallTime time;
};

/** A planned stop has begun: new work is refused, running tasks are finished. */
struct StopRequested
{
};

/** A caller submitted a job at this entry. */
struct CallerSubmitted
{
    std::uint64_t request = 0; /**< Number of the request within this process. */
    std::string key; /**< Submission key, for the log. */
    JobId job;
    JobRequest content;
};

/** A caller looks up the outcome of a job. */
struct CallerLookedUp
{
    std::uint64_t request = 0;
    std::string key;
    std::string service;
    JobId job;
};

/** A caller cancels a job. */
struct CallerCancelled
{
    std::uint64_t request = 0;
    std::string key;
    std::string service;
    JobId job;
};

/** The caller's connection closed; the answer is no longer needed. */
struct CallerLeft
{
    std::uint64_t request = 0;
};

/** The upstream beside this agent announced itself. */
struct UpstreamAnnounced
{
    std::string service;
    std::uint16_t slots = 0;
    std::uint16_t connections = 0;
    Resources capacity;
};

/** The upstream beside this agent is leaving or unresponsive. */
struct UpstreamWithdrawn
{
    std::string service;
};

/** The upstream answered a task. */
struct UpstreamReplied
{
    TaskId task;
    TaskResult result;
    Duration runTime{ 0 };
};

/** The call to the upstream broke before an answer was complete. */
struct UpstreamCallBroken
{
    TaskId task;
    bool started = true; /**< False when no byte of the request was written. */
    Reason reason = Reason::UpstreamError;
    Duration runTime{ 0 };
};

/** Send a message to a node; delivery is not guaranteed. */
struct SendMessage
{
    NodeId to;
    DispatchMessage message;
};

/** Answer the caller's request at this entry. */
struct AnswerCaller
{
    std::uint64_t request = 0;
    JobId job;
    JobAnswer answer;
};

/** Send a task to the upstream beside this agent. */
struct CallUpstream
{
    TaskId task;
    std::string service;
    std::string path;
    std::string body;
    Duration timeout{ 0 };
};

/** Send the upstream a stop order for a running task. */
struct StopUpstreamTask
{
    TaskId task;
    std::string service;
    std::string path;
};

/** Event of the home, mirror and executor of an agent. */
using AgentEvent = std::variant<MessageReceived,
                                ConnectionLost,
                                ViewChanged,
                                ViewProposed,
                                StartsAllowed,
                                WorkerChanged,
                                WorkerRemoved,
                                RulesChanged,
                                TimeElapsed,
                                WallClockRead,
                                StopRequested,
                                UpstreamAnnounced,
                                UpstreamWithdrawn,
                                UpstreamReplied,
                                UpstreamCallBroken>;

/** Action of the home, mirror and executor of an agent. */
using AgentAction = std::variant<SendMessage, CallUpstream, StopUpstreamTask>;

/** Event of an entry. */
using EntryEvent = std::variant<MessageReceived,
                                ConnectionLost,
                                ViewChanged,
                                RulesChanged,
                                TimeElapsed,
                                StopRequested,
                                CallerSubmitted,
                                CallerLookedUp,
                                CallerCancelled,
                                CallerLeft>;

/** Action of an entry. */
using EntryAction = std::variant<SendMessage, AnswerCaller>;

} // namespace lagoonroute
