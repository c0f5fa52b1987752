#pragma once

#include "runresult.h"
#include "workload.h"

#include <lagoonroute/placement/scheduler.h>

#include <deque>
#include <queue>
#include <unordered_map>

namespace lagoonroute::bench
{

/**
 * Runs a workload through a scheduler and simulated executors under virtual time.
 *
 * The scheduler runs on the host of worker 0. Every message between two hosts takes Deployment::hop.
 */
template <PlacementPolicy Policy>
class PolicyRun
{
public:
    PolicyRun(const Deployment &deployment, const Scenario &scenario, const std::vector<WorkItem> &items, ServiceRules rules);

    /** Runs to the end of the workload. */
    RunResult run(std::string name);

private:
    enum class Kind : std::uint8_t {
        Arrival,
        Start, // a task reaches an executor
        End, // a task ends at its upstream
        Report, // its result reaches the home
        Refusal, // an executor's refusal reaches the home
        Withdrawal, // a withdrawal reaches an executor
        Wake,
    };

    struct Event
    {
        Instant at;
        std::uint64_t sequence = 0;
        Kind kind = Kind::Arrival;
        std::uint32_t task = 0;
        std::uint32_t worker = 0;
        bool failed = false;

        bool operator>(const Event &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    struct Executor
    {
        std::uint32_t running = 0;
        std::deque<std::uint32_t> queue;
    };

    struct Job
    {
        std::uint32_t unsettled = 0;
        bool failed = false;
        bool ranRemotely = false; // whether a task ran on a host other than the scheduler's
        Duration longest{ 0 };
    };

    void post(Instant at, Kind kind, std::uint32_t task = 0, std::uint32_t worker = 0, bool failed = false);
    void handle(const Event &event);
    void arrive(std::uint32_t first);
    void startAt(std::uint32_t task, std::uint32_t worker);
    void execute(std::uint32_t task, std::uint32_t worker);
    void end(const Event &event);
    void report(const Event &event);
    void refuse(const Event &event);
    void withdraw(const Event &event);
    void place();
    void settle(std::uint32_t task, bool failed);
    [[nodiscard]] Duration hopTo(std::uint32_t worker) const;
    [[nodiscard]] TaskDemand demandOf(std::uint32_t task) const;
    [[nodiscard]] Duration runTimeOf(std::uint32_t task, std::uint32_t worker) const;
    [[nodiscard]] bool fails(std::uint32_t worker) const;
    [[nodiscard]] bool isFaulty(std::uint32_t worker) const;

    Deployment m_deployment;
    Scenario m_scenario;
    const std::vector<WorkItem> &m_items;
    std::uint32_t m_depth;
    BasicScheduler<Policy> m_scheduler;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    Instant m_now;
    std::optional<Instant> m_wake;
    std::vector<Executor> m_executors;
    std::vector<Job> m_jobs;
    RunResult m_result;
};

extern template class PolicyRun<LateBinding>;
extern template class PolicyRun<RandomChoice>;
extern template class PolicyRun<RoundRobin>;
extern template class PolicyRun<TwoChoices>;
extern template class PolicyRun<LeastLoaded>;

} // namespace lagoonroute::bench
