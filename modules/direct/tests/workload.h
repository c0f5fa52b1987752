#pragma once

#include "directsimulation.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace lagoonroute
{

/** One kind of request of a workload. */
struct WorkloadKind
{
    std::string route;
    double jobsPerSecond = 0;
    std::uint32_t tasksPerJob = 1;
    Duration work{ 0 }; /**< Mean run time of a task on an upstream of speed 1. */
    std::uint32_t cpuMillis = 6200;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 2;
    double credit = 1; /**< Credit for a job of mean size answered within its objective; a late one earns a fifth of it. */
};

/** Returns the three kinds of request of the booking service: quick lookups, repricings, and holds of a date. */
inline std::vector<WorkloadKind> bookingKinds()
{
    using namespace std::chrono_literals;
    return { { "lookup", 34.4, 8, 60ms, 6200, 0, 3, 0.0291 }, { "reprice", 100, 2, 200ms, 6200, 1, 2, 0.01 }, { "hold", 6.25, 4, 900ms, 6200, 2, 2, 0.16 } };
}

/** Returns one route for each kind, with the time limits and objectives of the booking service. */
inline std::vector<RouteRule> routesFor(const std::vector<WorkloadKind> &kinds)
{
    using namespace std::chrono_literals;
    std::vector<RouteRule> rules;
    for (const WorkloadKind &kind : kinds) {
        RouteRule rule;
        rule.name = kind.route;
        rule.host = "booking.example";
        rule.prefix = "/" + kind.route + "/";
        rule.service = "booking";
        rule.timeout = 1500ms;
        rule.priority = kind.priority;
        rule.maxAttempts = kind.maxAttempts;
        rule.stretch = 1.6;
        rule.targetLatency = 60ms;
        rules.push_back(rule);
    }
    return rules;
}

/** Submits jobs of the given kinds to a simulation, with arrival times and sizes drawn by seed. */
class Workload
{
public:
    Workload(DirectSimulation &simulation, std::vector<WorkloadKind> kinds, std::size_t entries, std::uint64_t seed)
        : m_simulation(simulation)
        , m_kinds(std::move(kinds))
        , m_entries(entries)
        , m_random(seed)
    {
    }

    /** Sets the factor by which the rates of all kinds are multiplied. */
    void setLoad(double load)
    {
        m_load = load;
    }

    /** Multiplies the rate of one kind by a further factor. */
    void setBurst(const std::string &route, double factor)
    {
        m_burstRoute = route;
        m_burstFactor = factor;
    }

    /** Sets whether jobs declare their true run time; otherwise the estimate has a random error. */
    void setExactEstimates(bool exact)
    {
        m_hasExactEstimates = exact;
    }

    /** Sets the share of client accounts that close the connection after half of the objective if they have no answer by then. */
    void setLeavingShare(double share)
    {
        m_leavingShare = share;
    }

    /** Sets the entries that get no new requests, as a load balancer would exclude them. */
    void setExcludedEntries(std::vector<std::size_t> entries)
    {
        m_excludedEntries = std::move(entries);
    }

    /** Sets the share of jobs whose tasks always fail. */
    void setFailingShare(double share)
    {
        m_failingShare = share;
    }

    /** Submits jobs for the given time and advances the simulation by it. */
    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (Duration passed{ 0 }; passed < duration; passed += step) {
            for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
                const double burst = m_kinds[kind].route == m_burstRoute ? m_burstFactor : 1;
                std::poisson_distribution<int> arrivals(m_kinds[kind].jobsPerSecond * m_load * burst * 0.005);
                for (int count = arrivals(m_random); count > 0; --count) {
                    submit(m_kinds[kind]);
                }
            }
            m_simulation.runFor(step);
            disconnectLeavers();
        }
    }

private:
    void submit(const WorkloadKind &kind)
    {
        std::lognormal_distribution<double> spread(0, 0.4);
        std::lognormal_distribution<double> narrow(0, 0.2);
        DirectJob job;
        job.id = "job-" + std::to_string(++m_number);
        DirectStep step;
        step.count = std::max(1U, static_cast<std::uint32_t>(kind.tasksPerJob * spread(m_random)));
        step.need = Resources{ static_cast<std::uint32_t>(std::min(9400.0, kind.cpuMillis * narrow(m_random))), 64, 0 };
        const auto work = Duration(static_cast<Duration::rep>(static_cast<double>(kind.work.count()) * std::min(4.0, spread(m_random))));
        const double error = spread(m_random);
        step.estimate = m_hasExactEstimates ? work : Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * error));
        job.steps.push_back(step);
        std::size_t entry = m_random() % m_entries;
        while (std::find(m_excludedEntries.begin(), m_excludedEntries.end(), entry) != m_excludedEntries.end()) {
            entry = (entry + 1) % m_entries;
        }
        const bool alwaysFails = static_cast<double>(m_random() % 1000) < m_failingShare * 1000;
        const std::size_t position = m_simulation.submit(entry, kind.route, job, work, std::chrono::milliseconds(6000), alwaysFails);
        if (static_cast<double>(m_random() % 1000) < m_leavingShare * 1000) {
            m_leavers.emplace_back(m_simulation.now() + (m_simulation.submissions()[position].objective / 2), position);
        }
    }

    void disconnectLeavers()
    {
        for (auto leaver = m_leavers.begin(); leaver != m_leavers.end();) {
            if (m_simulation.now() < leaver->first) {
                ++leaver;
                continue;
            }
            if (!m_simulation.submissions()[leaver->second].answeredAt) {
                m_simulation.disconnect(leaver->second);
            }
            leaver = m_leavers.erase(leaver);
        }
    }

    DirectSimulation &m_simulation;
    std::vector<WorkloadKind> m_kinds;
    std::size_t m_entries;
    std::mt19937_64 m_random;
    double m_load = 1;
    double m_failingShare = 0;
    double m_leavingShare = 0;
    std::string m_burstRoute;
    double m_burstFactor = 1;
    bool m_hasExactEstimates = false;
    std::vector<std::pair<Instant, std::size_t>> m_leavers;
    std::vector<std::size_t> m_excludedEntries;
    std::uint64_t m_number = 0;
};

/** Number of submissions by outcome. */
struct WorkloadResult
{
    std::size_t submitted = 0;
    std::size_t withinObjective = 0; /**< Completed within the objective. */
    std::size_t late = 0; /**< Completed after the objective. */
    std::size_t notRun = 0; /**< Answered as not run. */
    std::size_t failed = 0; /**< Failed or timed out. */
    std::size_t unanswered = 0;

    /** Returns the share of submissions completed within their objective, or 1 without submissions. */
    [[nodiscard]] double shareWithinObjective() const
    {
        return submitted == 0 ? 1 : static_cast<double>(withinObjective) / static_cast<double>(submitted);
    }
};

/**
 * Returns the credit earned as a share of the credit attainable, for one route or, for an empty name, for all. The credit of a
 * job grows with its size. A late job earns a fifth of it, and one that takes longer than three objectives earns nothing. Jobs
 * whose client account closed the connection are not counted.
 */
inline double creditOf(const DirectSimulation &simulation, const std::vector<WorkloadKind> &kinds, const std::string &route = "")
{
    constexpr double fixedShare = 0.3;
    constexpr double largestFactor = 4;
    constexpr double lateShare = 0.2;
    double earned = 0;
    double attainable = 0;
    for (const DirectSimulation::Submission &submission : simulation.submissions()) {
        const auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const WorkloadKind &other) { return other.route == submission.route; });
        if (submission.isDisconnected || (!route.empty() && submission.route != route)) {
            continue;
        }
        const double size = static_cast<double>(submission.work.count()) * static_cast<double>(submission.tasks);
        const double mean = static_cast<double>(kind->work.count()) * kind->tasksPerJob;
        const double jobCredit = kind->credit * std::min(largestFactor, fixedShare + ((1 - fixedShare) * size / mean));
        attainable += jobCredit;
        const bool isDone = submission.answeredAt && submission.answer.verdict == (submission.alwaysFails ? DirectVerdict::Failed : DirectVerdict::Completed);
        if (!isDone) {
            continue;
        }
        const Duration taken = *submission.answeredAt - submission.submittedAt;
        if (taken <= submission.objective) {
            earned += jobCredit;
        } else if (taken <= submission.objective * 3) {
            earned += jobCredit * lateShare;
        }
    }
    return attainable == 0 ? 1 : earned / attainable;
}

/** Counts the submissions of a route by outcome, or those of all routes for an empty name. */
inline WorkloadResult resultOf(const DirectSimulation &simulation, const std::string &route = "")
{
    WorkloadResult result;
    for (const DirectSimulation::Submission &submission : simulation.submissions()) {
        if (!route.empty() && submission.route != route) {
            continue;
        }
        ++result.submitted;
        if (!submission.answeredAt) {
            ++result.unanswered;
        } else if (submission.answer.verdict == DirectVerdict::Completed) {
            const bool isInTime = *submission.answeredAt - submission.submittedAt <= submission.objective;
            ++(isInTime ? result.withinObjective : result.late);
        } else if (submission.answer.verdict == DirectVerdict::NotRun) {
            ++result.notRun;
        } else {
            ++result.failed;
        }
    }
    return result;
}

} // namespace lagoonroute
