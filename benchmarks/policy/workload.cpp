#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lagoonroute::bench
{

namespace
{

constexpr double microsPerSecond = 1e6;
constexpr double longShare = 0.03;
constexpr double shortest = 0.05; // seconds
constexpr double shortLimit = 1;
constexpr double longStart = 2;
constexpr double longLimit = 5;
constexpr double meanWork = (1 - longShare) * (shortest + shortLimit) / 2 + longShare * (longStart + longLimit) / 2;
constexpr std::uint32_t callers = 16;
constexpr double burstInterval = 5; // seconds
constexpr std::uint16_t burstTasks = 100;
constexpr double largestError = 20;
constexpr double floodStart = 10; // seconds
constexpr std::uint16_t floodTasks = 500;
constexpr int floodJobs = 10;

Duration seconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * microsPerSecond));
}

/** Draws random values without the distributions of the standard library, whose results differ between implementations. */
class RandomSampler
{
public:
    explicit RandomSampler(std::uint64_t seed)
        : m_random(seed)
    {
    }

    double uniform(double from, double to)
    {
        constexpr double scale = 0x1p-53;
        constexpr int unusedBits = 11;
        return from + (to - from) * (static_cast<double>(m_random() >> unusedBits) * scale);
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - uniform(0, 1));
    }

    Duration work()
    {
        const bool isLong = uniform(0, 1) < longShare;
        return seconds(isLong ? uniform(longStart, longLimit) : uniform(shortest, shortLimit));
    }

private:
    std::mt19937_64 m_random;
};

} // namespace

Deployment ndimbal()
{
    return { .name = "ndimbal", .hop = std::chrono::milliseconds(1) };
}

Deployment rackwise()
{
    return { .name = "rackwise", .hop = std::chrono::microseconds(500) };
}

std::vector<WorkItem> drawWorkload(const Deployment &deployment, const Scenario &scenario, std::size_t tasks, std::uint64_t seed)
{
    RandomSampler sampler(seed);
    const double interval = meanWork / (scenario.load * deployment.workers * deployment.slots);
    std::vector<WorkItem> items;
    items.reserve(tasks);
    double now = 0;
    double nextBurst = burstInterval;
    int floodJobsLeft = scenario.flood ? floodJobs : 0;
    std::uint32_t job = 0;
    const auto addJob = [&](std::uint32_t caller, std::uint16_t jobSize) {
        for (std::uint16_t index = 0; index < jobSize; ++index) {
            const Duration work = sampler.work();
            const double error = scenario.wrongDeclarations ? std::exp(sampler.uniform(-1, 1) * std::log(largestError)) : 1;
            const Duration declared(static_cast<Duration::rep>(static_cast<double>(work.count()) * error));
            items.push_back(WorkItem{ job, Instant(seconds(now)), work, declared, caller, jobSize });
        }
        ++job;
    };
    while (items.size() < tasks) {
        now += sampler.exponential(interval);
        if (scenario.bursts && now >= nextBurst) {
            nextBurst += burstInterval;
            addJob(callers, burstTasks);
        }
        if (now >= floodStart && floodJobsLeft > 0) {
            --floodJobsLeft;
            addJob(floodCaller, floodTasks);
        }
        addJob(static_cast<std::uint32_t>(sampler.uniform(0, callers)), 1);
    }
    return items;
}

} // namespace lagoonroute::bench
