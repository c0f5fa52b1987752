#pragma once

#include <workload.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoonroute::bench
{

/** Size and load of the deployment in which the inputs of an entry are recorded. */
struct EntryTraceOptions
{
    std::size_t entries = 9;
    std::size_t agents = 54;
    double load = 1; /**< Factor on the arrival rates of a heavy day. */
    Duration loadTime = std::chrono::seconds(6);
    std::uint64_t seed = 1;
};

/** What the replay of a trace has caused. */
struct EntryReplayResult
{
    std::size_t jobs = 0; /**< Submitted jobs. */
    std::size_t tasks = 0; /**< Tasks of the submitted jobs. */
    std::size_t inputs = 0;
    std::size_t messages = 0; /**< Link messages sent. */
    std::size_t starts = 0; /**< Started tasks. */
    std::size_t answers = 0;
    std::uint64_t allocations = 0; /**< By the core alone. */
    std::uint64_t digest = 0; /**< Of all messages and answers in order; equal for equal decisions. */
};

/** All inputs of one entry of a simulated deployment. They can be handled again by a core alone, without the cost of the simulation. */
class EntryTrace
{
public:
    /** Runs a simulation and records the inputs of its first entry. */
    static EntryTrace record(const EntryTraceOptions &options);

    /** Passes all inputs to a new core. */
    [[nodiscard]] EntryReplayResult replay() const;

private:
    struct Row
    {
        Instant time;
        EntryInput input;
    };

    DirectEntryCore::Options m_coreOptions;
    std::size_t m_entries = 0;
    std::vector<Row> m_rows;
};

} // namespace lagoonroute::bench
