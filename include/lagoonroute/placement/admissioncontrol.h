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
 * Refuses a job at once when a task can never run or when the expected wait exceeds its deadline. Each caller may fill a share of the queue in
 * proportion to its weight. The shares leave capacity for one more caller, so that a caller that floods the queue is refused before the others are.
 */
class AdmissionControl
{
public:
    /** Creates a check against the given queue, accounts and estimates. `delayed` is the number of tasks that wait outside the queue for a retry. */
    AdmissionControl(const FairQueue &queue, const WorkerAccounts &accounts, const RunTimeEstimator &estimator, std::size_t queueLimit, std::size_t delayed);

    /** Returns the reason to refuse the job, or nothing when it may enter the queue. */
    [[nodiscard]] std::optional<AdmissionRefusal> decide(const std::vector<TaskDemand> &tasks, Instant now) const;

private:
    [[nodiscard]] std::optional<AdmissionRefusal> checkRunnable(const TaskDemand &task, Instant now) const;
    [[nodiscard]] std::optional<AdmissionRefusal> checkQueueLimits(const std::string &caller, std::size_t tasks) const;
    [[nodiscard]] std::optional<AdmissionRefusal> checkDeadline(const std::vector<TaskDemand> &tasks, Instant now) const;
    [[nodiscard]] Duration drainTime(Duration work) const;

    const FairQueue &m_queue;
    const WorkerAccounts &m_accounts;
    const RunTimeEstimator &m_estimator;
    std::size_t m_queueLimit;
    std::size_t m_delayed;
};

} // namespace lagoonroute
