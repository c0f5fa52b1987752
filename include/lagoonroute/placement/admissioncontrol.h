#pragma once

#include <lagoonroute/placement/fairqueue.h>
#include <lagoonroute/placement/runtimeestimator.h>
#include <lagoonroute/placement/workeraccounts.h>

#include <vector>

namespace lagoonroute
{

/**
 * Decides whether a job may enter the queue.
 *
 * Refuses at once what can never run, and what the queue could only keep until its deadline has passed. Every caller has a share of the
 * queue by weight, with room left for one more caller, so that a flood refuses itself first.
 */
class AdmissionControl
{
public:
    /** Looks at the queue, the accounts and the estimates; `delayed` are tasks that wait outside the queue. */
    AdmissionControl(const FairQueue &queue, const WorkerAccounts &accounts, const RunTimeEstimator &estimator, std::size_t queueLimit, std::size_t delayed);

    /** Returns why the job may not enter, or nothing when it may. */
    [[nodiscard]] std::optional<AdmissionRefusal> decide(const std::vector<TaskDemand> &tasks, Instant now) const;

private:
    [[nodiscard]] std::optional<AdmissionRefusal> refuseUnrunnable(const TaskDemand &task, Instant now) const;
    [[nodiscard]] std::optional<AdmissionRefusal> refuseFull(const std::string &caller, std::size_t tasks) const;
    [[nodiscard]] std::optional<AdmissionRefusal> refuseLate(const std::vector<TaskDemand> &tasks, Instant now) const;
    [[nodiscard]] Duration drainTime(Duration work) const;

    const FairQueue &m_queue;
    const WorkerAccounts &m_accounts;
    const RunTimeEstimator &m_estimator;
    std::size_t m_queueLimit;
    std::size_t m_delayed;
};

} // namespace lagoonroute
