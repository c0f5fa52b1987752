#include "entrytrace.h"

#include <gflags/gflags.h>

#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_START_INSTRUMENTATION
#define CALLGRIND_STOP_INSTRUMENTATION
#endif

#include <cstdio>

DEFINE_uint64(entries, 9, "number of entries");
DEFINE_uint64(agents, 54, "number of agents; the arrival rates are proportional to it");
DEFINE_double(load, 1, "factor on the arrival rates of a heavy day; 1.6 is a burst with a long queue");
DEFINE_uint64(seconds, 6, "time for which jobs are submitted");
DEFINE_uint64(seed, 1, "seed of the simulation that records the inputs");

using namespace lagoonroute;
using namespace lagoonroute::bench;

/**
 * Records the inputs of one entry in a simulated deployment, and passes them to a DirectEntryCore alone.
 *
 * To count instructions of that part only: valgrind --tool=callgrind --instr-atstart=no --collect-atstart=no entry-cost
 */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    EntryTraceOptions options;
    options.entries = FLAGS_entries;
    options.agents = FLAGS_agents;
    options.load = FLAGS_load;
    options.loadTime = std::chrono::seconds(FLAGS_seconds);
    options.seed = FLAGS_seed;
    const EntryTrace trace = EntryTrace::record(options);
    CALLGRIND_START_INSTRUMENTATION;
    const EntryReplayResult result = trace.replay();
    CALLGRIND_STOP_INSTRUMENTATION;
    const double jobs = static_cast<double>(result.jobs);
    std::printf("jobs %zu, tasks %zu, inputs %zu, messages %zu, starts %zu, answers %zu, digest %016llx\n",
                result.jobs,
                result.tasks,
                result.inputs,
                result.messages,
                result.starts,
                result.answers,
                static_cast<unsigned long long>(result.digest));
    std::printf("a job: inputs %.1f, messages %.1f, allocations %.1f\n",
                static_cast<double>(result.inputs) / jobs,
                static_cast<double>(result.messages) / jobs,
                static_cast<double>(result.allocations) / jobs);
    return 0;
}
