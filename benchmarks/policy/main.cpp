#include "centralqueue.h"
#include "policyrun.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>

DEFINE_uint64(tasks, 200'000, "tasks in each run");
DEFINE_uint64(seed, 1, "seed of the workloads");
DEFINE_string(json, "", "file to write the results to, as JSON");

using namespace lagoonroute;
using namespace lagoonroute::bench;

namespace
{

constexpr double microsPerMilli = 1000;

double millis(Duration duration)
{
    return static_cast<double>(duration.count()) / microsPerMilli;
}

std::vector<Scenario> scenarios()
{
    return { { .name = "load 30 %", .load = 0.3 },
             { .name = "load 60 %", .load = 0.6 },
             { .name = "load 90 %", .load = 0.9 },
             { .name = "60 %, bursts", .load = 0.6, .bursts = true },
             { .name = "60 %, straggler x4", .load = 0.6, .slowdown = 4 },
             { .name = "80 %, straggler x4", .load = 0.8, .slowdown = 4 },
             { .name = "60 %, failing worker", .load = 0.6, .failingWorker = true },
             { .name = "60 %, refusing worker", .load = 0.6, .refusingWorker = true },
             { .name = "60 %, flood", .load = 0.6, .flood = true },
             { .name = "90 %, wrong declarations", .load = 0.9, .wrongDeclarations = true } };
}

template <PlacementPolicy Policy>
RunResult runPolicy(const std::string &name, const Deployment &deployment, const Scenario &scenario, const std::vector<WorkItem> &items, std::uint32_t depth)
{
    const ServiceRules rules = ServiceRules::Builder("bench").withExecutorQueueDepth(depth).withQueueLimit(100'000).build();
    return PolicyRun<Policy>(deployment, scenario, items, rules).run(name);
}

std::vector<RunResult> runAll(const Deployment &deployment, const Scenario &scenario)
{
    const auto items = drawWorkload(deployment, scenario, FLAGS_tasks, FLAGS_seed);
    return { runCentralQueue(deployment, items),
             runPolicy<LateBinding>("late binding", deployment, scenario, items, 0),
             runPolicy<LateBinding>("late binding +1", deployment, scenario, items, 1),
             runPolicy<LateBinding>("late binding +2", deployment, scenario, items, 2),
             runPolicy<LeastLoaded>("least loaded", deployment, scenario, items, 0),
             runPolicy<TwoChoices>("two choices", deployment, scenario, items, 0),
             runPolicy<RoundRobin>("round robin", deployment, scenario, items, 0),
             runPolicy<RandomChoice>("random", deployment, scenario, items, 0) };
}

boost::json::object print(const Deployment &deployment, const Scenario &scenario, const RunResult &result)
{
    const Percentiles added = Percentiles::of(result.added);
    const Percentiles beyond = Percentiles::of(result.beyondHops);
    std::printf("%-9s %-25s %-16s %8.1f %8.1f %8.1f %10.1f %8.4f %7zu %7zu\n",
                deployment.name.c_str(),
                scenario.name.c_str(),
                result.policy.c_str(),
                millis(added.p50),
                millis(added.p99),
                millis(added.p999),
                millis(beyond.p999),
                result.wastedPerTask(),
                result.failedTasks,
                result.refusedJobs);
    return { { "deployment", deployment.name },
             { "scenario", scenario.name },
             { "policy", result.policy },
             { "addedMillis", { { "p50", millis(added.p50) }, { "p99", millis(added.p99) }, { "p99.9", millis(added.p999) } } },
             { "beyondHopsMillis", { { "p50", millis(beyond.p50) }, { "p99", millis(beyond.p99) }, { "p99.9", millis(beyond.p999) } } },
             { "wastedMessagesPerTask", result.wastedPerTask() },
             { "failedTasks", result.failedTasks },
             { "refusedJobs", result.refusedJobs } };
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the placement policies on seeded workloads under a fake clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf(
        "%-9s %-25s %-16s %8s %8s %8s %10s %8s %7s %7s\n", "user", "scenario", "policy", "p50", "p99", "p99.9", "beyond99.9", "wasted", "failed", "refused");
    boost::json::array rows;
    for (const Deployment &deployment : { ndimbal(), rackwise() }) {
        for (const Scenario &scenario : scenarios()) {
            for (const RunResult &result : runAll(deployment, scenario)) {
                rows.push_back(print(deployment, scenario, result));
            }
        }
    }
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << boost::json::object{ { "seed", FLAGS_seed }, { "tasks", FLAGS_tasks }, { "runs", rows } } << '\n';
    }
    return 0;
}
