#pragma once

#include <lagoonroute/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute::bench
{

/** One task of a workload. */
struct WorkItem
{
    std::uint32_t job = 0;
    Instant arrival; /**< Time of arrival at the entry. */
    Duration work{ 0 }; /**< Time that an upstream of normal speed needs. */
    Duration declared{ 0 };
    std::uint32_t caller = 0;
    std::uint16_t jobSize = 1;
};

/** Number of workers, slots and network delay of one service. */
struct Deployment
{
    std::string name;
    std::uint32_t workers = 11;
    std::uint16_t slots = 8;
    Duration hop; /**< One-way delay between two hosts. */
};

/** Sabar Ndimbal's booking service. */
Deployment ndimbal();

/** Rackwise's inspection service. */
Deployment rackwise();

/** Load of a run and its disturbances. */
struct Scenario
{
    std::string name;
    double load = 0.6; /**< Mean work that arrives per unit of time, as a share of the capacity of all slots. */
    bool bursts = false; /**< Adds a job of 100 tasks every 5 s. */
    bool wrongDeclarations = false; /**< Declared run times are wrong by a factor between 1/20 and 20. */
    double slowdown = 1; /**< Factor on the run times of one worker during the whole run. */
    bool flood = false; /**< One caller submits 5000 tasks between 10 s and 11 s after the start. */
    bool refusingWorker = false; /**< One worker refuses every task from 10 s to 40 s after the start. */
    bool failingWorker = false; /**< One worker fails every task after 5 ms, from 10 s to 40 s after the start. */
};

/** Caller of the flood; its jobs are excluded from the response times. */
inline constexpr std::uint32_t floodCaller = 1000;

/** Returns random tasks for a scenario, in order of arrival. The same seed gives the same tasks. */
std::vector<WorkItem> drawWorkload(const Deployment &deployment, const Scenario &scenario, std::size_t tasks, std::uint64_t seed);

} // namespace lagoonroute::bench
