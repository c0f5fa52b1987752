#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/directjob.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Set of extensions of the link protocol, one bit each. A message that belongs to an extension is only sent to a process that knows it. */
using LinkFeatures = std::uint32_t;

/** The sender knows ZoneDrainNotice and enforces zone drains. */
inline constexpr LinkFeatures zoneDrainFeature = 1U << 0U;
/** Feature of agents that hold back free capacity on request: fields at the end of CapacityRequest and StartTasks. */
inline constexpr LinkFeatures capacityReservationFeature = 1U << 1U;
/** The sender exchanges UnconfirmedRuns and EntryClearance with entries, or, as an agent, answers ClearanceRequest. */
inline constexpr LinkFeatures unconfirmedRunsFeature = 1U << 2U;

/** First message of an agent on a link; it implies that no earlier run of this entry at the agent is still running. */
struct AgentHello
{
    std::string node;
    std::string zone;
    Incarnation incarnation = 0; /**< Differs between two incarnations of the process. */
    LinkFeatures features = 0; /**< Extensions of the link protocol that the sender knows; 0 from an earlier version. */

    auto operator<=>(const AgentHello &) const = default;
};

/** Service and capacity of the upstream beside an agent. Sent again whenever it changes. */
struct AgentOffer
{
    bool isOpen = false; /**< Whether starts are accepted. */
    std::string service;
    Resources capacity;
    std::vector<std::string> labels;

    auto operator<=>(const AgentOffer &) const = default;
};

/** Free capacity of an upstream after the agent has handled the given number of starts of this link. */
struct AgentFreeCapacity
{
    Resources free;
    std::uint64_t startsHandled = 0;
    bool isExclusive = false; /**< Whether this is an exclusive notice to an entry that waits for capacity; it answers with starts or with CapacityRequest. */

    auto operator<=>(const AgentFreeCapacity &) const = default;
};

/** Heartbeat of an agent, with its own clock, which the entry echoes. */
struct AgentHeartbeat
{
    std::int64_t clock = 0; /**< Microseconds on the agent's clock. */

    auto operator<=>(const AgentHeartbeat &) const = default;
};

/** How a run ended at the upstream. */
enum class RunEnd : std::uint8_t {
    Done,
    Failed, /**< Because of the task or of the upstream. */
    Stopped, /**< By a stop order. */
    Lost, /**< The upstream is gone or the lease of the run has expired; the run is no longer running. */
};

/** Message that a run is over. */
struct TaskEnded
{
    DirectTaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Lost;
    std::string checkpoint; /**< State from which the next run can resume; empty for none. */

    auto operator<=>(const TaskEnded &) const = default;
};

/** Expected end of a run, from the progress that its upstream lists. */
struct RunForecast
{
    DirectTaskId task;
    std::uint32_t run = 0;
    Duration remaining{ 0 };
    bool isStalled = false; /**< Whether the run makes no progress; `remaining` is then meaningless. */

    auto operator<=>(const RunForecast &) const = default;
};

/** Reason why a start was refused. The run has not started and never will. */
enum class StartRefusal : std::uint8_t {
    NoCapacity,
    Closed, /**< The upstream is draining, is unknown, or does not answer. */
    RunTooLow, /**< The upstream has seen the same or a higher run number of the task. */
    Unhealthy, /**< The upstream itself refused work. */
    Unanswered, /**< The upstream did not answer the start order, and later confirmed that the run never starts. */
};

/** Message that a start was refused. */
struct StartRefused
{
    DirectTaskId task;
    std::uint32_t run = 0;
    StartRefusal reason = StartRefusal::Closed;

    auto operator<=>(const StartRefused &) const = default;
};

/** First message of an entry on a link. */
struct EntryHello
{
    std::string node;
    std::string address; /**< Where other processes reach this entry, "ip:port". */
    LinkFeatures features = 0; /**< As in AgentHello. */

    auto operator<=>(const EntryHello &) const = default;
};

/** Answer to AgentHeartbeat. */
struct EntryEcho
{
    std::int64_t clock = 0; /**< As in the heartbeat. */

    auto operator<=>(const EntryEcho &) const = default;
};

/** One task of a StartTasks message. */
struct TaskStart
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0; /**< Grows with each start of the task. */
    Resources need;
    std::string checkpoint;

    auto operator<=>(const TaskStart &) const = default;
};

/** Order to start tasks of one job. */
struct StartTasks
{
    std::string job;
    std::string spec;
    std::vector<TaskStart> tasks;
    Duration expectedRunTime{ 0 }; /**< Longest of the tasks; zero if not known. Only for agents with capacityReservationFeature. */

    auto operator<=>(const StartTasks &) const = default;
};

/** Order to stop a run. The answer is the message that reports its end. */
struct StopTask
{
    DirectTaskId task;
    std::uint32_t run = 0;

    auto operator<=>(const StopTask &) const = default;
};

/** The newest configuration that the sender has, as the operator wrote it. Sent on request. */
struct ConfigurationDocument
{
    std::uint64_t version = 0;
    std::string document;

    auto operator<=>(const ConfigurationDocument &) const = default;
};

/** Version of the newest configuration that the sender has. */
struct DocumentNotice
{
    std::uint64_t version = 0;

    auto operator<=>(const DocumentNotice &) const = default;
};

/** Request for a ConfigurationDocument. */
struct DocumentRequest
{
    auto operator<=>(const DocumentRequest &) const = default;
};

/** Message that an entry has tasks waiting for capacity, or no longer has any. */
struct CapacityRequest
{
    bool hasWaitingTasks = false;
    std::uint32_t priority = 0; /**< Of the most urgent task; 0 comes first. */
    Resources need; /**< Smallest capacity that is useful. */
    bool reserve = false; /**< Whether the agent shall hold back free capacity for the need. Only for agents with capacityReservationFeature. */
    Duration expectedRunTime{ 0 }; /**< Of the task with that need; zero if not known. As `reserve`. */

    auto operator<=>(const CapacityRequest &) const = default;
};

/** Addresses of the entries that the sender knows, "ip:port". */
struct EntryList
{
    std::vector<std::string> addresses;

    auto operator<=>(const EntryList &) const = default;
};

/** The newest zone drains that the sender knows. Only sent to a process that has stated zoneDrainFeature. */
struct ZoneDrainNotice
{
    std::uint64_t version = 0; /**< Version of the platform's store at the time of the list. */
    std::vector<std::string> zones; /**< Availability zones in which no task may be started. */

    auto operator<=>(const ZoneDrainNotice &) const = default;
};

/** An agent that an entry has lost while runs of it were there. */
struct LostAgent
{
    std::string agent;
    std::int64_t loss = 0; /**< Identifies the loss, also beyond a restart of the entry. */

    auto operator<=>(const LostAgent &) const = default;
};

/** The runs that the sender, an entry, cannot confirm to be over. It replaces an earlier one of the same incarnation. */
struct UnconfirmedRuns
{
    Incarnation incarnation = 0; /**< Of the sender's process. */
    std::uint64_t number = 0; /**< Rises with each message that differs from the one before. */
    std::vector<std::string> jobs; /**< Jobs with such runs. No other entry starts their tasks. */
    std::vector<LostAgent> agents;

    auto operator<=>(const UnconfirmedRuns &) const = default;
};

/** Request to an agent for an EntryClearance, on behalf of another entry. */
struct ClearanceRequest
{
    std::string entry;
    std::int64_t loss = 0; /**< As in LostAgent. */

    auto operator<=>(const ClearanceRequest &) const = default;
};

/** Message from an agent, passed on by another entry, that it has neither a link to the entry nor a run of it. */
struct EntryClearance
{
    std::string entry;
    std::string agent;
    std::int64_t loss = 0; /**< As in the request. */

    auto operator<=>(const EntryClearance &) const = default;
};

/** Every message on a link between an agent and an entry, or between two entries. */
using LinkMessage = std::variant<AgentHello,
                                 AgentOffer,
                                 AgentFreeCapacity,
                                 AgentHeartbeat,
                                 TaskEnded,
                                 StartRefused,
                                 RunForecast,
                                 EntryHello,
                                 EntryEcho,
                                 StartTasks,
                                 StopTask,
                                 ConfigurationDocument,
                                 EntryList,
                                 DocumentNotice,
                                 DocumentRequest,
                                 CapacityRequest,
                                 ZoneDrainNotice,
                                 UnconfirmedRuns,
                                 ClearanceRequest,
                                 EntryClearance>;

/** Number of a link, unique within one process. */
using LinkId = std::uint64_t;

} // namespace lagoonroute
