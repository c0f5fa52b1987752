#include <lagoonroute/placement/scheduler.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

Scheduler::Scheduler(ServiceRules rules, std::uint64_t /*seed*/)
    : m_rules(std::move(rules))
{
}

void Scheduler::setRules(ServiceRules rules)
{
    m_rules = std::move(rules);
}

void Scheduler::updateWorker(const WorkerState &worker)
{
    m_workers[worker.node].state = worker;
}

void Scheduler::removeWorker(NodeId worker)
{
    m_workers.erase(worker);
}

std::optional<AdmissionRefusal> Scheduler::admit(const std::vector<TaskDemand> &tasks, Instant /*now*/) const
{
    if (m_workers.empty()) {
        return AdmissionRefusal{ Reason::NoWorker, "no worker offers the service", std::chrono::seconds(1) };
    }
    if (m_queue.size() + tasks.size() > m_rules.queueLimit()) {
        return AdmissionRefusal{ Reason::Overloaded, "the queue of the service is full", std::chrono::seconds(1) };
    }
    return std::nullopt;
}

void Scheduler::enqueue(TaskDemand task, Instant /*now*/)
{
    m_queue.push_back(std::move(task));
}

bool Scheduler::remove(const TaskId &task)
{
    return std::erase_if(m_queue, [&task](const TaskDemand &waiting) { return waiting.task == task; }) > 0;
}

std::optional<Placement> Scheduler::nextPlacement(Instant /*now*/)
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    WorkerAccount *best = nullptr;
    for (auto &[node, account] : m_workers) {
        const bool hasFreeSlot = !account.state.leaving && account.running < account.state.slots;
        if (hasFreeSlot && (best == nullptr || account.running < best->running)) {
            best = &account;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->running;
    const Placement placement{ m_queue.front().task, best->state.node };
    m_queue.pop_front();
    return placement;
}

std::vector<TaskId> Scheduler::takeExpired(Instant now)
{
    std::vector<TaskId> expired;
    std::erase_if(m_queue, [&expired, now](const TaskDemand &waiting) {
        if (waiting.startBy > now) {
            return false;
        }
        expired.push_back(waiting.task);
        return true;
    });
    return expired;
}

void Scheduler::attemptEnded(const TaskId & /*task*/, NodeId worker, AttemptResult /*result*/, Duration /*runTime*/, Instant /*now*/)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && found->second.running > 0) {
        --found->second.running;
    }
}

void Scheduler::adopt(const TaskDemand & /*task*/, NodeId worker, Instant /*now*/)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        ++found->second.running;
    }
}

std::optional<Instant> Scheduler::nextWake() const
{
    std::optional<Instant> earliest;
    for (const TaskDemand &waiting : m_queue) {
        if (!earliest || waiting.startBy < *earliest) {
            earliest = waiting.startBy;
        }
    }
    return earliest;
}

std::size_t Scheduler::waiting() const noexcept
{
    return m_queue.size();
}

} // namespace lagoonroute
