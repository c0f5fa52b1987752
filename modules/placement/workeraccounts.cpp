#include <lagoonroute/placement/workeraccounts.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

std::uint32_t WorkerAccount::slots() const noexcept
{
    if (!m_known) {
        return 0;
    }
    return m_state.connections == 0 ? m_state.slots : std::min(m_state.slots, m_state.connections);
}

bool WorkerAccount::fits(const Resources &need) const noexcept
{
    return need.fitsInto(m_state.capacity - m_used);
}

void WorkerAccounts::update(const WorkerState &worker)
{
    WorkerAccount &account = m_accounts[worker.node];
    const bool isStale = account.m_known && worker.incarnation < account.m_state.incarnation;
    if (isStale) {
        return;
    }
    const bool isFirst = !account.m_state.node.isValid();
    account.m_state = worker;
    account.m_known = true;
    account.m_assigned = 0;
    account.m_used = Resources{};
    for (AccountedTask &task : account.m_tasks) {
        task.incarnation = isFirst ? worker.incarnation : task.incarnation;
        if (task.incarnation == worker.incarnation) {
            ++account.m_assigned;
            account.m_used = account.m_used + task.demand.need;
        }
    }
    const bool isCovered = fitsAnyClass(worker.capacity);
    if (!isCovered) {
        std::erase_if(m_classes, [&worker](const Resources &known) { return known.fitsInto(worker.capacity); });
        m_classes.push_back(worker.capacity);
    }
    countSlots();
}

void WorkerAccounts::remove(NodeId worker)
{
    const auto found = m_accounts.find(worker);
    if (found == m_accounts.end()) {
        return;
    }
    if (found->second.m_tasks.empty()) {
        m_accounts.erase(found);
    } else {
        found->second.m_known = false;
    }
    countSlots();
}

void WorkerAccounts::assign(NodeId worker, AccountedTask task)
{
    WorkerAccount &account = m_accounts[worker];
    const bool isKnown
        = std::any_of(account.m_tasks.begin(), account.m_tasks.end(), [&task](const AccountedTask &other) { return other.demand.task == task.demand.task; });
    if (isKnown) {
        return;
    }
    task.incarnation = account.m_state.incarnation;
    ++account.m_assigned;
    m_assigned += account.takesWork() ? 1 : 0;
    account.m_used = account.m_used + task.demand.need;
    account.m_tasks.push_back(std::move(task));
}

std::optional<AccountedTask> WorkerAccounts::settle(const TaskId &task, NodeId worker)
{
    const auto found = m_accounts.find(worker);
    if (found == m_accounts.end()) {
        return std::nullopt;
    }
    WorkerAccount &account = found->second;
    const auto position
        = std::find_if(account.m_tasks.begin(), account.m_tasks.end(), [&task](const AccountedTask &other) { return other.demand.task == task; });
    if (position == account.m_tasks.end()) {
        return std::nullopt;
    }
    AccountedTask settled = std::move(*position);
    account.m_tasks.erase(position);
    if (settled.incarnation == account.m_state.incarnation) {
        --account.m_assigned;
        m_assigned -= account.takesWork() ? 1 : 0;
        account.m_used = account.m_used - settled.demand.need;
    }
    if (!account.m_known && account.m_tasks.empty()) {
        m_accounts.erase(found);
    }
    return settled;
}

std::vector<TaskId> WorkerAccounts::takeWithdrawable(NodeId worker)
{
    std::vector<TaskId> tasks;
    const auto found = m_accounts.find(worker);
    if (found == m_accounts.end()) {
        return tasks;
    }
    std::vector<AccountedTask> &accounted = found->second.m_tasks;
    const std::size_t slots = found->second.slots();
    for (std::size_t index = slots; index < accounted.size(); ++index) {
        if (!std::exchange(accounted[index].withdrawalProposed, true)) {
            tasks.push_back(accounted[index].demand.task);
        }
    }
    return tasks;
}

const WorkerAccount *WorkerAccounts::find(NodeId worker) const
{
    const auto found = m_accounts.find(worker);
    return found == m_accounts.end() ? nullptr : &found->second;
}

bool WorkerAccounts::fitsAnyClass(const Resources &need) const
{
    return std::any_of(m_classes.begin(), m_classes.end(), [&need](const Resources &capacity) { return need.fitsInto(capacity); });
}

bool WorkerAccounts::fitsAnyWorker(const Resources &need) const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [&need](const auto &item) {
        const WorkerAccount &account = item.second;
        return account.takesWork() && need.fitsInto(account.state().capacity);
    });
}

void WorkerAccounts::countSlots()
{
    m_slots = 0;
    m_assigned = 0;
    for (const auto &[node, account] : m_accounts) {
        m_slots += account.takesWork() ? account.slots() : 0;
        m_assigned += account.takesWork() ? account.assigned() : 0;
    }
}

} // namespace lagoonroute
