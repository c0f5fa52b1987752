#include <directsimulation.h>
#include <workload.h>

#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(seeds, 3, "number of seeds to run each pattern with");
DEFINE_string(pattern, "", "run only the patterns whose name contains this text");
DEFINE_string(reservations, "both", "on, off or both");
DEFINE_uint64(load_ms, 0, "time under load instead of the pattern's, in milliseconds; 0 for the pattern's");

using namespace lagoonroute;
using namespace std::chrono_literals;

namespace
{

/** A load whose jobs differ in the number of tasks, the run times and the processors of a task. */
struct Pattern
{
    std::string name;
    std::size_t entries = 9;
    std::size_t agents = 54;
    double load = 0.9; // share of the upstreams' processors
    double needSpread = 0.2; // of the logarithm of the processors of a task
    Duration loadTime = 8s;
};

std::vector<Pattern> patterns()
{
    return { { "9 x 54, 90 %", 9, 54, 0.9, 0.2, 8s },
             { "9 x 54, mixed sizes, 90 %", 9, 54, 0.9, 0.8, 8s },
             { "9 x 54, mixed sizes, 97 %", 9, 54, 0.97, 0.8, 8s },
             { "3 x 11, mixed sizes, 90 %", 3, 11, 0.9, 0.8, 12s },
             { "35 x 160, mixed sizes, 90 %", 35, 160, 0.9, 0.8, 3s },
             { "35 x 160, mixed sizes, 97 %", 35, 160, 0.97, 0.8, 3s } };
}

/** Kinds of the deployments with uneven fleets; the rates are scaled to the load. */
std::vector<WorkloadKind> mixedKinds()
{
    return { { "lookup", 206, 8, 60ms, 5100, 0, 3 }, { "reprice", 600, 2, 200ms, 5100, 1, 2 }, { "hold", 37.5, 4, 900ms, 5100, 2, 2 } };
}

/** One job and how it ended. */
struct Outcome
{
    std::string route;
    double size = 0; // tasks x run time x processors
    bool isCompleted = false;
    bool isRefused = false;
    bool isLate = false;
    double taken = 0; // milliseconds
};

struct Totals
{
    std::vector<Outcome> outcomes;
    std::size_t refusedStarts = 0;
    std::size_t moves = 0;
    std::uint64_t messages = 0;
    std::uint64_t begun = 0;
    std::uint64_t used = 0;
    std::uint64_t expired = 0;
    double held = 0; // processor seconds
    double processorTime = 0; // seconds of this process
    std::size_t violations = 0;
};

constexpr double countSpread = 0.4;
constexpr double timeSpread = 0.4;
constexpr double largestNeed = 32'000;

/** Mean of a lognormal variable with median 1. */
double meanOf(double spread)
{
    return std::exp(spread * spread / 2);
}

class Load
{
public:
    Load(DirectSimulation &simulation, const Pattern &pattern, std::uint64_t seed)
        : m_simulation(simulation)
        , m_pattern(pattern)
        , m_random(seed)
    {
        double work = 0; // processors in use, for the rates of the kinds
        for (const WorkloadKind &kind : m_kinds) {
            work += kind.jobsPerSecond * kind.tasksPerJob * std::chrono::duration<double>(kind.work).count() * kind.cpuMillis / 1000 * meanOf(countSpread)
                * meanOf(timeSpread);
        }
        constexpr double processorsOfAgent = 64 * 7.0 / 6 * 1.017; // every third is half as large again; mean speed
        m_factor = pattern.load * processorsOfAgent * static_cast<double>(pattern.agents) / work;
    }

    void run(Duration duration)
    {
        for (Duration passed{ 0 }; passed < duration; passed += 5ms) {
            for (const WorkloadKind &kind : m_kinds) {
                std::poisson_distribution<int> arrivals(kind.jobsPerSecond * m_factor * 0.005);
                for (int count = arrivals(m_random); count > 0; --count) {
                    submit(kind);
                }
            }
            m_simulation.runFor(5ms);
        }
    }

    void addOutcomes(std::vector<Outcome> &outcomes) const
    {
        for (std::size_t position = 0; position < m_simulation.submissions().size(); ++position) {
            const DirectSimulation::Submission &submission = m_simulation.submissions()[position];
            Outcome outcome{ .route = submission.route, .size = m_sizes[position] };
            outcome.isCompleted = submission.answeredAt && submission.answer.verdict == DirectVerdict::Completed;
            outcome.isRefused = submission.answeredAt && submission.answer.verdict == DirectVerdict::NotRun;
            if (outcome.isCompleted) {
                const Duration taken = *submission.answeredAt - submission.submittedAt;
                outcome.isLate = taken > submission.objective;
                outcome.taken = static_cast<double>(taken.count()) / 1000;
            }
            outcomes.push_back(outcome);
        }
    }

private:
    void submit(const WorkloadKind &kind)
    {
        std::lognormal_distribution<double> counts(0, countSpread);
        std::lognormal_distribution<double> times(0, timeSpread);
        std::lognormal_distribution<double> needs(-m_pattern.needSpread * m_pattern.needSpread / 2, m_pattern.needSpread);
        DirectJob job;
        job.id = "job-" + std::to_string(++m_number);
        DirectStep step;
        step.count = std::max(1U, static_cast<std::uint32_t>(std::lround(kind.tasksPerJob * counts(m_random))));
        step.need = Resources{ static_cast<std::uint32_t>(std::clamp(kind.cpuMillis * needs(m_random), 500.0, largestNeed)), 64, 0 };
        const auto work = Duration(static_cast<Duration::rep>(static_cast<double>(kind.work.count()) * std::min(4.0, times(m_random))));
        step.estimate = Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * times(m_random)));
        job.steps.push_back(step);
        m_sizes.push_back(static_cast<double>(step.count) * static_cast<double>(work.count()) * step.need.cpuMillis);
        m_simulation.submit(m_random() % m_pattern.entries, kind.route, job, work, 3s);
    }

    DirectSimulation &m_simulation;
    Pattern m_pattern;
    std::vector<WorkloadKind> m_kinds = mixedKinds();
    std::mt19937_64 m_random;
    double m_factor = 1;
    std::vector<double> m_sizes; // by submission
    std::uint64_t m_number = 0;
};

Totals measure(const Pattern &pattern, bool hasReservations)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        DirectSimulation::Options options;
        options.entries = pattern.entries;
        options.agents = pattern.agents;
        options.seed = seed;
        options.entry = DirectEntryCore::Options().withCapacityReservations(hasReservations);
        const std::clock_t begin = std::clock();
        DirectSimulation simulation(options);
        simulation.setRoutes(routesFor(mixedKinds()));
        simulation.runFor(2s);
        Load load(simulation, pattern, seed);
        load.run(FLAGS_load_ms == 0 ? pattern.loadTime : std::chrono::milliseconds(FLAGS_load_ms));
        simulation.runFor(4s);
        totals.processorTime += static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        load.addOutcomes(totals.outcomes);
        totals.refusedStarts += simulation.noteCount("start-refused");
        totals.moves += simulation.noteCount("run-moved");
        totals.messages += simulation.messageCount();
        totals.violations += simulation.violations().size();
        for (std::size_t agent = 0; agent < pattern.agents; ++agent) {
            const CapacityReservation::Totals &one = simulation.agentCore(agent).reservationTotals();
            totals.begun += one.begun;
            totals.used += one.used;
            totals.expired += one.expired;
            totals.held += one.heldProcessorSeconds;
        }
    }
    return totals;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/** Prints one line for the jobs of a kind whose size is between two quantiles of the sizes of the kind. */
void printBand(const Pattern &pattern, bool hasReservations, const Totals &totals, const std::string &route, const char *band, double from, double to)
{
    std::vector<double> sizes;
    for (const Outcome &outcome : totals.outcomes) {
        if (outcome.route == route) {
            sizes.push_back(outcome.size);
        }
    }
    const double least = quantile(sizes, from);
    const double below = quantile(sizes, to);
    std::vector<double> taken;
    std::size_t jobs = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    for (const Outcome &outcome : totals.outcomes) {
        if (outcome.route != route || (from > 0 && outcome.size < least) || (to < 1 && outcome.size >= below)) {
            continue;
        }
        ++jobs;
        refused += outcome.isRefused ? 1 : 0;
        late += outcome.isLate ? 1 : 0;
        if (outcome.isCompleted) {
            taken.push_back(outcome.taken);
        }
    }
    std::printf("%-28s %-4s %-8s %-7s %7zu %7zu %7zu %7zu %8.0f %8.0f\n",
                pattern.name.c_str(),
                hasReservations ? "on" : "off",
                route.c_str(),
                band,
                jobs,
                refused,
                late,
                jobs - refused - taken.size(),
                quantile(taken, 0.5),
                quantile(taken, 0.99));
}

void print(const Pattern &pattern, bool hasReservations, const Totals &totals)
{
    for (const WorkloadKind &kind : mixedKinds()) {
        printBand(pattern, hasReservations, totals, kind.route, "all", 0, 1);
        printBand(pattern, hasReservations, totals, kind.route, "fifth", 0.7, 0.9);
        printBand(pattern, hasReservations, totals, kind.route, "tenth", 0.9, 1);
    }
    std::printf(
        "%-28s %-4s refused starts %zu, moves %zu, messages %.1f a job, holds begun %lu used %lu expired %lu, held %.1f processor s, %.1f s, "
        "violations %zu\n",
        pattern.name.c_str(),
        hasReservations ? "on" : "off",
        totals.refusedStarts,
        totals.moves,
        static_cast<double>(totals.messages) / static_cast<double>(std::max<std::size_t>(1, totals.outcomes.size())),
        static_cast<unsigned long>(totals.begun),
        static_cast<unsigned long>(totals.used),
        static_cast<unsigned long>(totals.expired),
        totals.held,
        totals.processorTime,
        totals.violations);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::printf("%-28s %-4s %-8s %-7s %7s %7s %7s %7s %8s %8s\n", "pattern", "", "kind", "size", "jobs", "refused", "late", "failed", "p50 ms", "p99 ms");
    for (const Pattern &pattern : patterns()) {
        if (pattern.name.find(FLAGS_pattern) == std::string::npos) {
            continue;
        }
        for (const bool hasReservations : { false, true }) {
            if (FLAGS_reservations == "both" || (FLAGS_reservations == "on") == hasReservations) {
                print(pattern, hasReservations, measure(pattern, hasReservations));
            }
        }
    }
    return 0;
}
