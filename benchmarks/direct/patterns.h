#pragma once

#include <workload.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lagoonroute::bench
{

/** A named load on the direct roles, with the faults that occur during it. */
struct DirectPattern
{
    std::string name;
    double load = 0.66; /**< Factor on the arrival rates of a heavy day. */
    bool hasFaults = false;
    bool needsEntries = false; /**< Whether its faults affect entries, so that it cannot run with a single entry. */
    std::function<void(DirectSimulation &, Workload &)> applyConditions; /**< Sets up the faults and bursts after a warm-up of 2 s; may be empty. */
    std::size_t entries = 3;
    std::size_t agents = 11; /**< The arrival rates are proportional to this number. */
    Duration loadTime = std::chrono::seconds(12);
    Duration settleTime = std::chrono::seconds(8); /**< Time after the load in which the remaining jobs end. */
};

/** Result of one run of a pattern. */
struct DirectResult
{
    double credit = 0;
    std::vector<double> creditOfKind;
    WorkloadResult counts;
    double messagesPerJob = 0;
    std::size_t moves = 0;
    std::size_t refusedStarts = 0;
    std::vector<std::string> violations;
};

/** Returns all patterns of the benchmark. */
std::vector<DirectPattern> directPatterns();

/** Runs a pattern with network delays and with declared run times that are off by 40 %. */
DirectResult runDirect(const DirectPattern &pattern, std::uint64_t seed);

/** Runs a pattern with negligible network delays and exact run times, and with a single entry unless its faults affect entries. */
DirectResult runIdeal(const DirectPattern &pattern, std::uint64_t seed);

} // namespace lagoonroute::bench
