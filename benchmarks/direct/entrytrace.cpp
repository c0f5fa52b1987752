#include "entrytrace.h"

#include "allocationcount.h"

#include <lagoonroute/transport/linkcodec.h>

#if __has_include(<valgrind/callgrind.h>)
#include <valgrind/callgrind.h>
#else
#define CALLGRIND_TOGGLE_COLLECT
#endif

#include <functional>
#include <string_view>

namespace lagoonroute::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t baselineAgents = 11; // number of agents for which the rates of the workload kinds are defined

/** Observes the actions of a core. */
class ActionObserver
{
public:
    explicit ActionObserver(EntryReplayResult &result)
        : m_result(result)
    {
    }

    void observe(const EntryActions &actions)
    {
        for (const EntryAction &action : actions) {
            if (const auto *send = std::get_if<SendOnLink>(&action)) {
                ++m_result.messages;
                if (const auto *start = std::get_if<StartTasks>(&send->message)) {
                    m_result.starts += start->tasks.size();
                }
                mix(std::to_string(send->link) + encodeLinkMessage(send->message));
            } else if (const auto *answer = std::get_if<AnswerRequest>(&action)) {
                ++m_result.answers;
                mix(answer->job + answer->answer.reason + std::to_string(static_cast<int>(answer->answer.verdict)));
            }
        }
    }

private:
    void mix(std::string_view text)
    {
        constexpr std::uint64_t prime = 0x100000001B3; // of the hash FNV-1a
        m_result.digest = (m_result.digest ^ std::hash<std::string_view>()(text)) * prime;
    }

    EntryReplayResult &m_result;
};

} // namespace

EntryTrace EntryTrace::record(const EntryTraceOptions &options)
{
    EntryTrace trace;
    DirectSimulation::Options simulated;
    simulated.entries = options.entries;
    simulated.agents = options.agents;
    simulated.seed = options.seed;
    simulated.onEntryInput = [&trace](std::size_t entry, const EntryInput &input, Instant now) {
        if (entry == 0) {
            trace.m_rows.push_back(Row{ now, input });
        }
    };
    trace.m_coreOptions = simulated.entry.withNode("entry-0", "10.0.0.1:7000").withZone("plateau");
    trace.m_entries = options.entries;
    DirectSimulation simulation(simulated);
    simulation.setRoutes(routesFor(bookingKinds()));
    simulation.runFor(2s);
    Workload workload(simulation, bookingKinds(), options.entries, options.seed);
    workload.setLoad(options.load * static_cast<double>(options.agents) / baselineAgents);
    workload.run(options.loadTime);
    simulation.runFor(2s);
    return trace;
}

EntryReplayResult EntryTrace::replay() const
{
    EntryReplayResult result;
    DirectEntryCore core(m_coreOptions);
    core.setPeers(m_entries - 1);
    EntryActions actions;
    core.setRoutes(RouteTable(1, routesFor(bookingKinds()), {}), actions);
    ActionObserver observer(result);
    for (const Row &row : m_rows) {
        ++result.inputs;
        if (const auto *submitted = std::get_if<EntryJobSubmitted>(&row.input)) {
            ++result.jobs;
            for (const DirectStep &step : submitted->job.steps) {
                result.tasks += step.count;
            }
        }
        const std::uint64_t allocationsBefore = allocationCount();
        CALLGRIND_TOGGLE_COLLECT;
        applyEntryInput(core, row.input, row.time, actions);
        CALLGRIND_TOGGLE_COLLECT;
        result.allocations += allocationCount() - allocationsBefore;
        observer.observe(actions);
        actions.clear();
    }
    return result;
}

} // namespace lagoonroute::bench
