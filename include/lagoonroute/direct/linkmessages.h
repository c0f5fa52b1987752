#pragma once

#include <lagoonroute/base/identifiers.h>
#include <lagoonroute/direct/directjob.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** First message of an agent on a link: nothing that it started for this entry before is running any more. */
struct AgentHello
{
    std::string node;
    std::string zone;
    Incarnation incarnation = 0; /**< Differs between two lives of the process. */

    auto operator<=>(const AgentHello &) const = default;
};

/** What the upstream beside an agent offers. Repeated when it changes. */
struct AgentOffer
{
    bool isOpen = false; /**< Whether starts are taken. */
    std::string service;
    Resources capacity;
    std::vector<std::string> labels;

    auto operator<=>(const AgentOffer &) const = default;
};

/** Free room of an upstream after the agent has handled so many starts of this link. */
struct AgentFreeCapacity
{
    Resources free;
    std::uint64_t startsHandled = 0;
    bool isExclusive = false; /**< Whether this entry alone is told, since it waits; it answers with starts or with CapacityRequest. */

    auto operator<=>(const AgentFreeCapacity &) const = default;
};

/** Sign of life of an agent, with its own clock, to be echoed. */
struct AgentHeartbeat
{
    std::int64_t clock = 0; /**< Microseconds on the agent's clock. */

    auto operator<=>(const AgentHeartbeat &) const = default;
};

/** How a run ended at the upstream. */
enum class RunEnd : std::uint8_t {
    Done,
    Failed, /**< By its own fault or the upstream's. */
    Stopped, /**< By order. */
    Lost, /**< The upstream, or the lease of the run, is gone; nothing of it runs any more. */
};

/** A run is over. */
struct TaskEnded
{
    DirectTaskId task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Lost;
    std::string checkpoint; /**< To go on from; empty for none. */

    auto operator<=>(const TaskEnded &) const = default;
};

/** When a run is expected to end, by the progress that its upstream lists. */
struct RunForecast
{
    DirectTaskId task;
    std::uint32_t run = 0;
    Duration remaining{ 0 };
    bool isStalled = false; /**< Whether it makes no progress at all; `remaining` then says nothing. */

    auto operator<=>(const RunForecast &) const = default;
};

/** Why a start was not made. The run has not started and never will. */
enum class StartRefusal : std::uint8_t {
    NoCapacity,
    Closed, /**< The upstream drains, is not known, or does not answer. */
    RunTooLow, /**< The upstream has seen a run of the task that is not lower. */
    Unhealthy, /**< The upstream itself refused work. */
    Unanswered, /**< The upstream did not answer the order, and then confirmed that it never runs. */
};

/** A start was not made. */
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

    auto operator<=>(const EntryHello &) const = default;
};

/** Answer to AgentHeartbeat. */
struct EntryEcho
{
    std::int64_t clock = 0; /**< As in the beat. */

    auto operator<=>(const EntryEcho &) const = default;
};

/** One task of a StartTasks. */
struct TaskStart
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint32_t run = 0; /**< Grows with each start of the task. */
    Resources need;
    std::string checkpoint;

    auto operator<=>(const TaskStart &) const = default;
};

/** Start tasks of one job. */
struct StartTasks
{
    std::string job;
    std::string spec;
    std::vector<TaskStart> tasks;

    auto operator<=>(const StartTasks &) const = default;
};

/** Stop a run. It is answered by its end. */
struct StopTask
{
    DirectTaskId task;
    std::uint32_t run = 0;

    auto operator<=>(const StopTask &) const = default;
};

/** The newest configuration that the sender knows, as the operator wrote it. Sent on request. */
struct ConfigurationDocument
{
    std::uint64_t version = 0;
    std::string document;

    auto operator<=>(const ConfigurationDocument &) const = default;
};

/** Version of the newest configuration that the sender holds. */
struct DocumentNotice
{
    std::uint64_t version = 0;

    auto operator<=>(const DocumentNotice &) const = default;
};

/** Asks for an ConfigurationDocument. */
struct DocumentRequest
{
    auto operator<=>(const DocumentRequest &) const = default;
};

/** An entry has tasks that wait for room, or has none any more. */
struct CapacityRequest
{
    bool hasWaitingTasks = false;
    std::uint32_t priority = 0; /**< Of the most urgent task; 0 comes first. */
    Resources need; /**< Least room that is of use. */

    auto operator<=>(const CapacityRequest &) const = default;
};

/** Entries that the sender knows, "ip:port". */
struct EntryList
{
    std::vector<std::string> addresses;

    auto operator<=>(const EntryList &) const = default;
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
                                 CapacityRequest>;

/** Number of a link within one process. */
using LinkId = std::uint64_t;

} // namespace lagoonroute
