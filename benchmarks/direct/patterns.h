#pragma once

#include <workload.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lagoonroute::bench
{

/** A named load with its faults, for the direct roles. */
struct DirectPattern
{
    std::string name;
    double load = 0.66; /**< Share of the rates of a heavy day. */
    bool hasFaults = false;
    bool needsEntries = false; /**< Whether its faults strike entries, so that one alone cannot play it. */
    std::function<void(DirectSimulation &, Workload &)> begin; /**< After two calm seconds; may be empty. */
    std::size_t entries = 3;
    std::size_t agents = 11; /**< The rates grow with them. */
    Duration loadTime = std::chrono::seconds(12);
    Duration settleTime = std::chrono::seconds(8); /**< In which jobs under way end. */
};

/** What a pattern came to. */
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

/** All patterns that are measured. */
std::vector<DirectPattern> directPatterns();

/** Plays a pattern with hops and declared run times that are off by 40 %. */
DirectResult playDirect(const DirectPattern &pattern, std::uint64_t seed);

/** Plays a pattern without hops and with true run times, by one entry where the pattern allows it. */
DirectResult playIdeal(const DirectPattern &pattern, std::uint64_t seed);

} // namespace lagoonroute::bench
