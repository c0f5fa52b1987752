#include "allocations.h"
#include "homeloop.h"

#include <benchmark/benchmark.h>

#include <lagoonroute/placement/scheduler.h>

using namespace lagoonroute;
using namespace lagoonroute::bench;

namespace
{

constexpr std::uint16_t slots = 8;

/** Measures one task in the scheduler: admission, queueing, placement and the end of its attempt. */
void scheduleTask(benchmark::State &state)
{
    Scheduler scheduler(ServiceRules::Builder("bench").withQueueLimit(1'000'000).build(), 1);
    const auto workers = static_cast<std::uint32_t>(state.range(0));
    for (std::uint32_t worker = 1; worker <= workers; ++worker) {
        scheduler.updateWorker(WorkerState{ .node = NodeId{ worker }, .incarnation = 1, .slots = slots, .connections = slots });
    }
    const auto backlog = static_cast<std::uint64_t>(state.range(1));
    Instant now{};
    std::uint64_t number = 0;
    const auto enqueue = [&] {
        ++number;
        std::vector<TaskDemand> tasks{ TaskDemand{ .task = { JobId{ { number, number } }, 0 },
                                                   .caller = "caller-" + std::to_string(number % 16),
                                                   .declaredRunTime = std::chrono::milliseconds(100),
                                                   .startBy = now + std::chrono::hours(24),
                                                   .jobSize = 1 } };
        benchmark::DoNotOptimize(scheduler.admit(tasks, now));
        scheduler.enqueue(std::move(tasks.front()), now);
    };
    for (std::uint64_t task = 0; task < backlog; ++task) {
        enqueue();
    }
    const std::size_t before = allocationCount();
    for (auto iteration : state) {
        now += std::chrono::milliseconds(1);
        enqueue();
        const auto placement = scheduler.nextPlacement(now);
        scheduler.attemptEnded(placement->task, placement->worker, AttemptResult::Succeeded, std::chrono::milliseconds(100), now);
    }
    state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocationCount() - before), benchmark::Counter::kAvgIterations);
}

/** Measures whole jobs in the home core: time and allocations per task, including those of the benchmark driver. */
void runJobs(benchmark::State &state)
{
    const auto tasks = static_cast<std::size_t>(state.range(0));
    HomeLoop loop(11, slots);
    const std::size_t before = allocationCount();
    std::size_t jobs = 0;
    for (auto iteration : state) {
        loop.runJob(tasks);
        ++jobs;
    }
    const auto perTask = static_cast<double>(jobs * tasks);
    state.SetItemsProcessed(static_cast<std::int64_t>(jobs * tasks));
    state.counters["timePerTask"] = benchmark::Counter(perTask, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
    state.counters["allocationsPerTask"] = static_cast<double>(allocationCount() - before) / perTask;
    state.counters["messagesPerJob"] = static_cast<double>(loop.messages().total()) / static_cast<double>(jobs);
}

BENCHMARK(scheduleTask)->ArgNames({ "workers", "backlog" })->Args({ 11, 0 })->Args({ 11, 10'000 })->Args({ 200, 0 })->Args({ 200, 10'000 });
BENCHMARK(runJobs)->ArgName("tasks")->Arg(1)->Arg(8)->Arg(100)->Arg(790);

} // namespace

BENCHMARK_MAIN();
