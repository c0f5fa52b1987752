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
    double perSecond = 0;
    std::uint32_t width = 1;
    Duration work{ 0 }; /**< Mean of a task. */
    std::uint32_t cpuMillis = 6200;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 2;
    double worth = 1; /**< Of a mean job; late ones earn a fifth. */
};

/** The three kinds of the booking service: quick lookups, repricings, and holds of a date. */
inline std::vector<WorkloadKind> bookingKinds()
{
    using namespace std::chrono_literals;
    return { { "lookup", 34.4, 8, 60ms, 6200, 0, 3, 0.0291 }, { "reprice", 100, 2, 200ms, 6200, 1, 2, 0.01 }, { "hold", 6.25, 4, 900ms, 6200, 2, 2, 0.16 } };
}

/** Routes of the kinds, with the promises of the booking service. */
inline std::vector<RouteRule> routesOf(const std::vector<WorkloadKind> &kinds)
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

/** Submits jobs of some kinds to a simulation at a rate, by seed. */
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

    /** Share of the rates. */
    void setLoad(double load)
    {
        m_load = load;
    }

    /** Times the rate of one kind. */
    void setBurst(const std::string &route, double factor)
    {
        m_burstRoute = route;
        m_burstFactor = factor;
    }

    /** Whether client accounts declare the true run time. */
    void setExactEstimates(bool exact)
    {
        m_hasExactEstimates = exact;
    }

    /** Share of client accounts that leave after half of their objective. */
    void setLeaving(double share)
    {
        m_leaving = share;
    }

    /** Entries that take no new requests, as a balancer sees them. */
    void setAvoided(std::vector<std::size_t> entries)
    {
        m_avoided = std::move(entries);
    }

    /** Share of jobs of which every task fails. */
    void setPoison(double share)
    {
        m_poison = share;
    }

    /** Submits for a time and lets time pass. */
    void run(Duration duration)
    {
        constexpr Duration step = std::chrono::milliseconds(5);
        for (Duration passed{ 0 }; passed < duration; passed += step) {
            for (std::size_t kind = 0; kind < m_kinds.size(); ++kind) {
                const double burst = m_kinds[kind].route == m_burstRoute ? m_burstFactor : 1;
                std::poisson_distribution<int> arrivals(m_kinds[kind].perSecond * m_load * burst * 0.005);
                for (int count = arrivals(m_random); count > 0; --count) {
                    submit(m_kinds[kind]);
                }
            }
            m_simulation.runFor(step);
            letLeave();
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
        step.count = std::max(1U, static_cast<std::uint32_t>(kind.width * spread(m_random)));
        step.need = Resources{ static_cast<std::uint32_t>(std::min(9400.0, kind.cpuMillis * narrow(m_random))), 64, 0 };
        const auto work = Duration(static_cast<Duration::rep>(static_cast<double>(kind.work.count()) * std::min(4.0, spread(m_random))));
        const double error = spread(m_random);
        step.estimate = m_hasExactEstimates ? work : Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) * error));
        job.steps.push_back(step);
        std::size_t entry = m_random() % m_entries;
        while (std::find(m_avoided.begin(), m_avoided.end(), entry) != m_avoided.end()) {
            entry = (entry + 1) % m_entries;
        }
        const bool isPoison = static_cast<double>(m_random() % 1000) < m_poison * 1000;
        const std::size_t position = m_simulation.submit(entry, kind.route, job, work, std::chrono::milliseconds(6000), isPoison);
        if (static_cast<double>(m_random() % 1000) < m_leaving * 1000) {
            m_leavers.emplace_back(m_simulation.now() + (m_simulation.submissions()[position].objective / 2), position);
        }
    }

    void letLeave()
    {
        for (auto leaver = m_leavers.begin(); leaver != m_leavers.end();) {
            if (m_simulation.now() < leaver->first) {
                ++leaver;
                continue;
            }
            if (!m_simulation.submissions()[leaver->second].answeredAt) {
                m_simulation.leave(leaver->second);
            }
            leaver = m_leavers.erase(leaver);
        }
    }

    DirectSimulation &m_simulation;
    std::vector<WorkloadKind> m_kinds;
    std::size_t m_entries;
    std::mt19937_64 m_random;
    double m_load = 1;
    double m_poison = 0;
    double m_leaving = 0;
    std::string m_burstRoute;
    double m_burstFactor = 1;
    bool m_hasExactEstimates = false;
    std::vector<std::pair<Instant, std::size_t>> m_leavers;
    std::vector<std::size_t> m_avoided;
    std::uint64_t m_number = 0;
};

/** What became of the jobs of a workload. */
struct WorkloadResult
{
    std::size_t submitted = 0;
    std::size_t inObjective = 0;
    std::size_t late = 0;
    std::size_t notRun = 0;
    std::size_t failed = 0; /**< Failed or timed out. */
    std::size_t open = 0;

    /** Share answered within the objective. */
    [[nodiscard]] double share() const
    {
        return submitted == 0 ? 1 : static_cast<double>(inObjective) / static_cast<double>(submitted);
    }
};

/**
 * Returns the credit earned against the credit owed: a job earns by its size, a late one a fifth, one later than three
 * objectives nothing. Jobs whose client account left are not owed.
 */
inline double creditOf(const DirectSimulation &simulation, const std::vector<WorkloadKind> &kinds, const std::string &route = "")
{
    constexpr double fixedShare = 0.3;
    constexpr double largestFactor = 4;
    constexpr double lateShare = 0.2;
    double earned = 0;
    double owed = 0;
    for (const DirectSimulation::Submission &submission : simulation.submissions()) {
        const auto kind = std::find_if(kinds.begin(), kinds.end(), [&](const WorkloadKind &other) { return other.route == submission.route; });
        if (submission.hasLeft || (!route.empty() && submission.route != route)) {
            continue;
        }
        const double size = static_cast<double>(submission.work.count()) * static_cast<double>(submission.tasks);
        const double mean = static_cast<double>(kind->work.count()) * kind->width;
        const double worth = kind->worth * std::min(largestFactor, fixedShare + ((1 - fixedShare) * size / mean));
        owed += worth;
        const bool isDone = submission.answeredAt && submission.answer.verdict == (submission.isPoison ? DirectVerdict::Failed : DirectVerdict::Completed);
        if (!isDone) {
            continue;
        }
        const Duration taken = *submission.answeredAt - submission.at;
        if (taken <= submission.objective) {
            earned += worth;
        } else if (taken <= submission.objective * 3) {
            earned += worth * lateShare;
        }
    }
    return owed == 0 ? 1 : earned / owed;
}

/** Sums up the submissions of a route, or of all for an empty name. */
inline WorkloadResult resultOf(const DirectSimulation &simulation, const std::string &route = "")
{
    WorkloadResult result;
    for (const DirectSimulation::Submission &submission : simulation.submissions()) {
        if (!route.empty() && submission.route != route) {
            continue;
        }
        ++result.submitted;
        if (!submission.answeredAt) {
            ++result.open;
        } else if (submission.answer.verdict == DirectVerdict::Completed) {
            const bool isInTime = *submission.answeredAt - submission.at <= submission.objective;
            ++(isInTime ? result.inObjective : result.late);
        } else if (submission.answer.verdict == DirectVerdict::NotRun) {
            ++result.notRun;
        } else {
            ++result.failed;
        }
    }
    return result;
}

} // namespace lagoonroute
