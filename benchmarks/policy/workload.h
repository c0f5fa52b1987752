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
    Instant arrival; /**< At the entry. */
    Duration work{ 0 }; /**< Time that the upstream needs at its usual speed. */
    Duration declared{ 0 };
    std::uint32_t caller = 0;
    std::uint16_t jobSize = 1;
};

/** Size of one user's service. */
struct Deployment
{
    std::string name;
    std::uint32_t workers = 11;
    std::uint16_t slots = 8;
    Duration hop; /**< One way between two hosts. */
};

/** Sabar Ndimbal's booking service. */
Deployment ndimbal();

/** Rackwise's inspection service. */
Deployment rackwise();

/** What happens besides the usual load. */
struct Scenario
{
    std::string name;
    double load = 0.6; /**< Mean work that arrives, as a share of what the slots can do. */
    bool bursts = false; /**< Jobs of 100 tasks every five seconds on top. */
    bool wrongDeclarations = false; /**< Declared run times are off by factors of up to 20 either way. */
    double slowdown = 1; /**< Of one worker, from the start. */
    bool flood = false; /**< One caller submits 5000 tasks within the eleventh second. */
    bool refusingWorker = false; /**< One worker refuses every task, from the tenth second to the fortieth. */
    bool failingWorker = false; /**< One worker fails every task after 5 ms, from the tenth second to the fortieth. */
};

/** Caller of the flood; its jobs are left out of the response times. */
inline constexpr std::uint32_t floodCaller = 1000;

/** Draws the tasks of a scenario, in order of their arrival. The same seed gives the same tasks. */
std::vector<WorkItem> drawWorkload(const Deployment &deployment, const Scenario &scenario, std::size_t tasks, std::uint64_t seed);

} // namespace lagoonroute::bench
