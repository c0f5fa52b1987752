#include <lagoonroute/placement/admissioncontrol.h>

#include <algorithm>

namespace lagoonroute
{

namespace
{

constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration noWorkerRetryAfter = std::chrono::seconds(1);

} // namespace

AdmissionControl::AdmissionControl(
    const FairQueue &queue, const WorkerAccounts &accounts, const RunTimeEstimator &estimator, std::size_t queueLimit, std::size_t delayed)
    : m_queue(queue)
    , m_accounts(accounts)
    , m_estimator(estimator)
    , m_queueLimit(queueLimit)
    , m_delayed(delayed)
{
}

std::optional<AdmissionRefusal> AdmissionControl::decide(const std::vector<TaskDemand> &tasks, Instant now) const
{
    if (tasks.empty()) {
        return std::nullopt;
    }
    for (const TaskDemand &task : tasks) {
        if (auto refusal = checkRunnable(task, now)) {
            return refusal;
        }
    }
    if (m_accounts.slots() == 0) {
        return AdmissionRefusal{ Reason::NoWorker, "no worker offers the service", noWorkerRetryAfter };
    }
    if (auto refusal = checkQueueLimits(tasks.front().caller, tasks.size())) {
        return refusal;
    }
    return checkDeadline(tasks, now);
}

std::optional<AdmissionRefusal> AdmissionControl::checkRunnable(const TaskDemand &task, Instant now) const
{
    if (now + task.declaredRunTime > task.startBy) {
        return AdmissionRefusal{ Reason::DeadlineTooShort, "the deadline is shorter than the declared run time of a task", std::nullopt };
    }
    if (m_accounts.fitsAnyWorker(task.need)) {
        return std::nullopt;
    }
    const bool hasWorkers = m_accounts.slots() > 0;
    if (hasWorkers && !m_accounts.fitsAnyClass(task.need)) {
        return AdmissionRefusal{ Reason::NeverRunnable, "no worker of the service is large enough for a task", std::nullopt };
    }
    return AdmissionRefusal{ Reason::NoWorker, "no worker that is large enough for a task is available at the moment", noWorkerRetryAfter };
}

std::optional<AdmissionRefusal> AdmissionControl::checkQueueLimits(const std::string &caller, std::size_t tasks) const
{
    const std::size_t waiting = m_queue.size() + m_delayed;
    const Duration retryAfter = std::max(minRetryAfter, drainTime(m_estimator.mean() * static_cast<Duration::rep>(tasks)));
    if (waiting + tasks > m_queueLimit) {
        return AdmissionRefusal{ Reason::Overloaded, "the queue of the service is full", retryAfter };
    }
    const double share = static_cast<double>(m_queueLimit) * m_queue.boundedShareOf(caller);
    const std::size_t waitingOfCaller = m_queue.sizeOf(caller);
    if (waitingOfCaller > 0 && static_cast<double>(waitingOfCaller + tasks) > share) {
        return AdmissionRefusal{ Reason::Overloaded, "the caller's share of the queue is full", retryAfter };
    }
    return std::nullopt;
}

std::optional<AdmissionRefusal> AdmissionControl::checkDeadline(const std::vector<TaskDemand> &tasks, Instant now) const
{
    Duration jobWork{ 0 };
    Instant deadline = Instant::max();
    for (const TaskDemand &task : tasks) {
        const Duration estimate = m_estimator.estimate(task.caller, task.declaredRunTime);
        jobWork += estimate;
        deadline = std::min(deadline, task.startBy - estimate);
    }
    const std::string &caller = tasks.front().caller;
    const auto ownWork = static_cast<double>((m_queue.workOf(caller) + jobWork).count());
    const Duration byShare(static_cast<Duration::rep>(ownWork / m_queue.shareOf(caller)));
    const std::uint32_t busy = m_accounts.assigned();
    const std::uint32_t free = m_accounts.slots() - std::min(m_accounts.slots(), busy);
    const Duration immediateWork = m_estimator.mean() * free;
    const Duration ahead = std::min(m_queue.work() + jobWork, byShare) - immediateWork;
    const Duration wait = drainTime(std::max(Duration{ 0 }, ahead));
    if (wait == Duration{ 0 } || now + wait <= deadline) {
        return std::nullopt;
    }
    const Duration retryAfter = std::max(minRetryAfter, now + wait - deadline);
    return AdmissionRefusal{ Reason::Overloaded, "the expected wait is longer than the deadline allows", retryAfter };
}

Duration AdmissionControl::drainTime(Duration work) const
{
    return work / std::max<Duration::rep>(1, m_accounts.slots());
}

} // namespace lagoonroute
