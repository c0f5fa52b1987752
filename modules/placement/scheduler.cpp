#include <lagoonroute/placement/admissioncontrol.h>
#include <lagoonroute/placement/scheduler.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr double percent = 100;
constexpr Duration stalledCheckInterval = std::chrono::milliseconds(250);
constexpr int stalledFactor = 8; // multiple of the mean and of the estimated run time after which a task counts as overdue
constexpr std::size_t minStalledTasks = 2;
constexpr Duration minWaitForReservation = std::chrono::seconds(1);

bool isStalled(const WorkerAccount &account, Duration limit, Instant now)
{
    std::size_t overdue = 0;
    for (const AccountedTask &task : account.tasks()) {
        overdue += now - task.placed > std::max(limit, stalledFactor * task.estimate) ? 1 : 0;
    }
    return overdue >= minStalledTasks && 2 * overdue >= account.tasks().size();
}

} // namespace

template <PlacementPolicy Policy>
BasicScheduler<Policy>::BasicScheduler(ServiceRules rules, std::uint64_t seed)
    : m_random(seed)
    , m_queue(FairQueue::Options{})
    , m_health(rules.ejection(), rules.straggler())
    , m_retries(RetryBudget::Options{})
{
    setRules(std::move(rules));
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::setRules(ServiceRules rules)
{
    m_rules = std::move(rules);
    m_queue.setWeights(m_rules.callerWeights(), m_rules.defaultCallerWeight());
    m_health.setRules(m_rules.ejection(), m_rules.straggler());
    m_retries.budget().setShare(m_rules.retryBudgetPercent() / percent);
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::setHome(NodeId home)
{
    m_home = home;
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::updateWorker(const WorkerState &worker)
{
    m_accounts.update(worker);
    m_health.add(worker.node, worker.incarnation);
    m_queue.setSlots(m_accounts.slots());
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::removeWorker(NodeId worker)
{
    m_accounts.remove(worker);
    m_health.remove(worker);
    if (m_reservation && m_reservation->worker == worker) {
        m_reservation.reset();
    }
    m_queue.setSlots(m_accounts.slots());
}

template <PlacementPolicy Policy>
std::optional<AdmissionRefusal> BasicScheduler<Policy>::admit(const std::vector<TaskDemand> &tasks, Instant now) const
{
    return AdmissionControl(m_queue, m_accounts, m_estimator, m_rules.queueLimit(), m_retries.size()).decide(tasks, now);
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::enqueue(TaskDemand task, Instant now)
{
    m_lastCall = now;
    if (m_retries.wasRefused(task.task)) {
        m_retries.delay(std::move(task), now, m_random);
        return;
    }
    m_retries.budget().earn();
    const Duration estimate = m_estimator.estimate(task.caller, task.declaredRunTime);
    m_queue.push(WaitingTask{ std::move(task), estimate, now });
}

template <PlacementPolicy Policy>
bool BasicScheduler<Policy>::remove(const TaskId &task)
{
    dropReservationOf(task);
    const bool wasDelayed = m_retries.remove(task);
    return m_queue.remove(task).has_value() || wasDelayed;
}

template <PlacementPolicy Policy>
std::optional<Placement> BasicScheduler<Policy>::nextPlacement(Instant now)
{
    m_lastCall = now;
    releaseDelayed(now);
    if (m_queue.size() == 0) {
        return std::nullopt;
    }
    findStalled(now);
    dropUnusableReservation(now);
    collectCandidates(now);
    if (m_candidates.empty()) {
        return std::nullopt;
    }
    NodeId worker;
    const auto accepts = [this, &worker](const WaitingTask &task) {
        const auto chosen = chooseWorker(task);
        worker = chosen ? m_fitting[*chosen].worker : NodeId{};
        return chosen.has_value();
    };
    auto task = m_queue.takeFirst(accepts);
    if (!task) {
        return std::nullopt;
    }
    dropReservationOf(task->demand.task);
    const Placement placement{ task->demand.task, worker };
    m_accounts.assign(worker, AccountedTask{ std::move(task->demand), task->estimate, task->enqueued, now });
    return placement;
}

template <PlacementPolicy Policy>
std::vector<TaskId> BasicScheduler<Policy>::takeExpired(Instant now)
{
    m_lastCall = now;
    std::vector<TaskId> expired = m_queue.takeExpired(now);
    for (const TaskId &task : expired) {
        dropReservationOf(task);
        m_retries.discardRefusals(task);
    }
    m_retries.takeExpired(now, expired);
    return expired;
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::attemptEnded(const TaskId &task, NodeId worker, AttemptResult result, Duration runTime, Instant now)
{
    m_lastCall = now;
    const auto settled = m_accounts.settle(task, worker);
    if (!settled) {
        return;
    }
    m_health.record(worker, result, runTime, settled->estimate, now);
    if (result == AttemptResult::RefusedNotStarted) {
        m_queue.correctCharge(settled->demand.caller, -settled->estimate);
        m_retries.recordRefusal(task, settled->enqueued);
        return;
    }
    m_retries.discardRefusals(task);
    m_queue.correctCharge(settled->demand.caller, runTime - settled->estimate);
    if (result == AttemptResult::Succeeded) {
        m_estimator.observe(settled->demand.caller, settled->demand.declaredRunTime, runTime);
    }
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::adopt(const TaskDemand &task, NodeId worker, Instant now)
{
    m_lastCall = now;
    m_accounts.assign(worker, AccountedTask{ task, m_estimator.estimate(task.caller, task.declaredRunTime), now, now });
}

template <PlacementPolicy Policy>
std::vector<Placement> BasicScheduler<Policy>::takeStragglerWithdrawals(Instant now)
{
    m_lastCall = now;
    findStalled(now);
    std::vector<Placement> found;
    for (const auto &[node, account] : m_accounts.all()) {
        const bool hasQueue = account.assigned() > account.slots() && m_health.isStraggling(node);
        if (!hasQueue || !hasOtherFreeSlot(node, now)) {
            continue;
        }
        for (const TaskId &task : m_accounts.takeWithdrawable(node)) {
            if (!m_retries.budget().spend(now)) {
                return found;
            }
            found.push_back({ task, node });
        }
    }
    return found;
}

template <PlacementPolicy Policy>
std::optional<Instant> BasicScheduler<Policy>::nextWake() const
{
    std::optional<Instant> earliest = m_queue.earliestDeadline();
    const auto consider = [&earliest](std::optional<Instant> moment) {
        if (moment && (!earliest || *moment < *earliest)) {
            earliest = moment;
        }
    };
    consider(m_retries.nextDue());
    if (m_queue.size() > 0) {
        consider(m_health.nextChange(m_lastCall));
    }
    return earliest;
}

template <PlacementPolicy Policy>
std::size_t BasicScheduler<Policy>::waiting() const noexcept
{
    return m_queue.size() + m_retries.size();
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::releaseDelayed(Instant now)
{
    while (auto due = m_retries.takeDue(now, m_random)) {
        const Duration estimate = m_estimator.estimate(due->first.caller, due->first.declaredRunTime);
        m_queue.push(WaitingTask{ std::move(due->first), estimate, due->second });
    }
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::collectCandidates(Instant now)
{
    m_candidates.clear();
    m_candidateAccounts.clear();
    std::uint64_t regularSlots = 0;
    for (const auto &[node, account] : m_accounts.all()) {
        const std::uint32_t slots = account.slots();
        if (!account.takesWork()) {
            continue;
        }
        const auto standing = m_health.placementLimits(node, now);
        regularSlots += standing.slowdown > 1 || standing.allowance == 0 ? 0 : slots;
        const std::uint32_t maxTasks = slots + (standing.slowdown > 1 ? 0 : m_rules.executorQueueDepth());
        const bool takesMore = !Policy::bindsLate || account.assigned() < maxTasks;
        if (takesMore && account.assigned() < standing.allowance) {
            m_candidates.push_back(Candidate{ node, slots, account.assigned(), standing.slowdown, node == m_home });
            m_candidateAccounts.push_back(&account);
        }
    }
    m_drainTime = regularSlots == 0 ? Duration::max() : m_queue.work() / static_cast<Duration::rep>(regularSlots);
}

template <PlacementPolicy Policy>
std::optional<std::size_t> BasicScheduler<Policy>::chooseWorker(const WaitingTask &task)
{
    m_fitting.clear();
    const bool isReserved = m_reservation && m_reservation->task != task.demand.task;
    for (std::size_t index = 0; index < m_candidates.size(); ++index) {
        const WorkerAccount &account = *m_candidateAccounts[index];
        const bool fits = Policy::bindsLate ? account.fits(task.demand.need) : task.demand.need.fitsInto(account.state().capacity);
        const bool isReservedForOther = isReserved && m_candidates[index].worker == m_reservation->worker;
        if (fits && !isReservedForOther) {
            m_fitting.push_back(m_candidates[index]);
        }
    }
    if (m_fitting.empty() && !m_reservation && m_lastCall - task.enqueued >= minWaitForReservation) {
        reserveFor(task);
    }
    const PlacementContext context{ task.demand.jobSize == 1, task.estimate, m_drainTime };
    return m_policy.choose(m_fitting, context, m_random);
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::reserveFor(const WaitingTask &task)
{
    std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[node, account] : m_accounts.all()) {
        const bool couldFit = account.takesWork() && task.demand.need.fitsInto(account.state().capacity);
        const auto standing = m_health.placementLimits(node, m_lastCall);
        const bool isUsable = couldFit && standing.allowance > 1 && standing.slowdown <= 1;
        if (isUsable && account.assigned() < fewest) {
            fewest = account.assigned();
            m_reservation = Reservation{ task.demand.task, node };
        }
    }
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::dropUnusableReservation(Instant now)
{
    if (!m_reservation) {
        return;
    }
    const WorkerAccount *account = m_accounts.find(m_reservation->worker);
    const bool isUsable = account != nullptr && account->takesWork() && m_health.placementLimits(m_reservation->worker, now).allowance > 1;
    if (!isUsable) {
        m_reservation.reset();
    }
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::dropReservationOf(const TaskId &task)
{
    if (m_reservation && m_reservation->task == task) {
        m_reservation.reset();
    }
}

template <PlacementPolicy Policy>
void BasicScheduler<Policy>::findStalled(Instant now)
{
    if (now - m_stalledChecked < stalledCheckInterval) {
        return;
    }
    m_stalledChecked = now;
    const Duration limit = stalledFactor * m_estimator.mean();
    for (const auto &[node, account] : m_accounts.all()) {
        m_health.setStalled(node, isStalled(account, limit, now));
    }
}

template <PlacementPolicy Policy>
bool BasicScheduler<Policy>::hasOtherFreeSlot(NodeId worker, Instant now) const
{
    return std::any_of(m_accounts.all().begin(), m_accounts.all().end(), [&](const auto &item) {
        const auto &[node, account] = item;
        const auto standing = m_health.placementLimits(node, now);
        return node != worker && account.takesWork() && standing.slowdown <= 1 && account.assigned() < std::min(account.slots(), standing.allowance);
    });
}

template class BasicScheduler<LateBinding>;
template class BasicScheduler<RandomChoice>;
template class BasicScheduler<RoundRobin>;
template class BasicScheduler<TwoChoices>;
template class BasicScheduler<LeastLoaded>;

} // namespace lagoonroute
