/* Measures the size of a configuration document and the time to print, parse, patch and compare it, by the number of services. */

#include "configurationpatch.h"

#include <lagoonroute/configuration/configuration.h>

#include <benchmark/benchmark.h>

namespace
{

using namespace lagoonroute;

Configuration withServices(std::int64_t count)
{
    Configuration::Builder builder;
    for (std::int64_t index = 0; index < count; ++index) {
        builder.withService(ServiceRules::Builder("service-" + std::to_string(index)).withCallerWeight("planners", 3).build());
    }
    return builder.build();
}

void printDocument(benchmark::State &state)
{
    const StoredConfiguration stored = succeeding(nullptr, withServices(state.range(0)), { .author = "aminata", .reason = "festival", .mark = "a" });
    std::size_t bytes = 0;
    for (auto iteration : state) {
        bytes = stored.toText().size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void parseDocument(benchmark::State &state)
{
    const std::string text = succeeding(nullptr, withServices(state.range(0)), { .mark = "a" }).toText();
    for (auto iteration : state) {
        benchmark::DoNotOptimize(StoredConfiguration::fromText(text));
    }
}

/** Measures a change of one field: the size of the patch that processes send each other, and the time to apply it. */
void applyChange(benchmark::State &state)
{
    const StoredConfiguration from = succeeding(nullptr, withServices(state.range(0)), { .mark = "a" });
    const Configuration content = Configuration::Builder(from.configuration).withService(ServiceRules::Builder("service-0").withQueueLimit(5).build()).build();
    const StoredConfiguration to = succeeding(&from, content, { .author = "aminata", .reason = "festival", .mark = Digest::of("b").toString() });
    const std::string patch = makePatch(from, to);
    for (auto iteration : state) {
        benchmark::DoNotOptimize(applyPatch(from, patch));
    }
    state.counters["bytes"] = static_cast<double>(patch.size());
}

void compareDocuments(benchmark::State &state)
{
    const Configuration from = withServices(state.range(0));
    const Configuration to = Configuration::Builder(from).withService(ServiceRules::Builder("service-0").build()).build();
    for (auto iteration : state) {
        benchmark::DoNotOptimize(diff(from, to));
    }
}

} // namespace

BENCHMARK(printDocument)->Arg(1)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(parseDocument)->Arg(1)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(applyChange)->Arg(1)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK(compareDocuments)->Arg(1)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
