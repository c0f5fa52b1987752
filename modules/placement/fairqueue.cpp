#include <lagoonroute/placement/fairqueue.h>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace lagoonroute
{

namespace
{

namespace mi = boost::multi_index;

/** Above this number, callers without waiting tasks are evicted once their clocks no longer affect the order. */
constexpr std::size_t maxIdleCallers = 4096;

using CallerOrder = std::pair<Instant, std::uint64_t>; // start tag of the caller's first task, number of the caller

struct Caller
{
    std::uint64_t number = 0;
    double weight = 1;
    Instant clock; // virtual time; advances with the slot time charged to the caller
    std::size_t waiting = 0;
    Duration work{ 0 };
    std::optional<CallerOrder> order;
};

struct Entry
{
    WaitingTask waiting;
    Caller *caller = nullptr;
    Instant key;
    std::uint64_t sequence = 0;

    [[nodiscard]] TaskId task() const
    {
        return waiting.demand.task;
    }

    [[nodiscard]] std::tuple<std::uint64_t, Instant, std::uint64_t> order() const
    {
        return { caller->number, key, sequence };
    }

    [[nodiscard]] Instant startBy() const
    {
        return waiting.demand.startBy;
    }
};

struct ByTask;
struct ByOrder;
struct ByDeadline;

using Entries = mi::multi_index_container<
    Entry,
    mi::indexed_by<mi::hashed_unique<mi::tag<ByTask>, mi::const_mem_fun<Entry, TaskId, &Entry::task>, std::hash<TaskId>>,
                   mi::ordered_unique<mi::tag<ByOrder>, mi::const_mem_fun<Entry, std::tuple<std::uint64_t, Instant, std::uint64_t>, &Entry::order>>,
                   mi::ordered_non_unique<mi::tag<ByDeadline>, mi::const_mem_fun<Entry, Instant, &Entry::startBy>>>>;

} // namespace

class FairQueue::Private
{
public:
    using OrderIterator = Entries::index<ByOrder>::type::iterator;

    explicit Private(Options givenOptions)
        : options(givenOptions)
    {
    }

    Caller &callerNamed(const std::string &name)
    {
        const auto [found, isNew] = callers.try_emplace(name);
        if (isNew) {
            found->second.number = ++lastNumber;
            found->second.weight = weightOf(name);
        }
        return found->second;
    }

    [[nodiscard]] double weightOf(const std::string &name) const
    {
        const auto found = weights.find(name);
        return std::max(1U, found == weights.end() ? defaultWeight : found->second);
    }

    /** Total weight of the other callers with waiting tasks. */
    [[nodiscard]] double weightOfOthers(const std::string &name) const
    {
        const Caller *caller = findCaller(name);
        return std::max(0.0, activeWeight - (caller != nullptr && caller->waiting > 0 ? caller->weight : 0));
    }

    [[nodiscard]] const Caller *findCaller(const std::string &name) const
    {
        const auto found = callers.find(name);
        return found == callers.end() ? nullptr : &found->second;
    }

    /** Updates the position of a caller among the callers with waiting tasks. */
    void reorder(Caller &caller)
    {
        std::optional<CallerOrder> order;
        if (caller.waiting > 0) {
            const auto first = entries.get<ByOrder>().lower_bound(std::tuple(caller.number, Instant::min(), std::uint64_t{ 0 }));
            order = CallerOrder{ startTagOf(*first), caller.number };
        }
        if (order == caller.order) {
            return;
        }
        auto node = caller.order ? activeCallers.extract(*caller.order) : std::set<CallerOrder>::node_type{};
        caller.order = order;
        if (order && node) {
            node.value() = *order;
            activeCallers.insert(std::move(node));
        } else if (order) {
            activeCallers.insert(*order);
        }
    }

    /** Start tag of a task, by which the callers' first tasks are ordered. */
    [[nodiscard]] Instant startTagOf(const Entry &entry) const
    {
        return std::max(entry.key, entry.caller->clock - options.tolerance);
    }

    /** Converts slot time to virtual time: the time in which the caller's share of the slots provides the given slot time. */
    [[nodiscard]] Duration shareTime(const Caller &caller, Duration slotTime) const
    {
        const double competing = std::max(activeWeight, caller.weight);
        return Duration(static_cast<Duration::rep>(static_cast<double>(slotTime.count()) * competing / (caller.weight * slots)));
    }

    WaitingTask take(OrderIterator position)
    {
        Caller &caller = *position->caller;
        --caller.waiting;
        caller.work -= position->waiting.estimate;
        activeWeight -= caller.waiting == 0 ? caller.weight : 0;
        work -= position->waiting.estimate;
        WaitingTask taken = position->waiting;
        entries.get<ByOrder>().erase(position);
        reorder(caller);
        return taken;
    }

    WaitingTask takeCharged(OrderIterator position)
    {
        Caller &caller = *position->caller;
        lastTag = std::max(lastTag, startTagOf(*position));
        caller.clock += shareTime(caller, position->waiting.estimate);
        return take(position);
    }

    void evictIdleCallers()
    {
        if (callers.size() < maxIdleCallers + activeCallers.size()) {
            return;
        }
        std::erase_if(callers, [this](const auto &item) { return item.second.waiting == 0 && item.second.clock <= lastTag; });
    }

    Options options;
    Entries entries;
    std::unordered_map<std::string, Caller> callers;
    std::set<CallerOrder> activeCallers;
    std::map<std::string, std::uint32_t> weights;
    std::uint32_t defaultWeight = 1;
    double slots = 1;
    Instant lastTag; // largest start tag of the tasks taken so far
    double activeWeight = 0;
    Duration work{ 0 };
    std::uint64_t lastNumber = 0;
    std::uint64_t lastSequence = 0;
};

FairQueue::Options &FairQueue::Options::withDeadlineMargin(Duration value)
{
    deadlineMargin = value;
    return *this;
}

FairQueue::Options &FairQueue::Options::withTolerance(Duration value)
{
    tolerance = value;
    return *this;
}

FairQueue::Options &FairQueue::Options::withSizeWeight(double value)
{
    sizeWeight = value;
    return *this;
}

FairQueue::Options &FairQueue::Options::withScanLimit(std::size_t value)
{
    scanLimit = value;
    return *this;
}

FairQueue::FairQueue(Options options)
    : m_private(std::make_unique<Private>(options))
{
}

FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

void FairQueue::setWeights(std::map<std::string, std::uint32_t> weights, std::uint32_t defaultWeight)
{
    m_private->weights = std::move(weights);
    m_private->defaultWeight = defaultWeight;
    m_private->activeWeight = 0;
    for (auto &[name, caller] : m_private->callers) {
        caller.weight = m_private->weightOf(name);
        m_private->activeWeight += caller.waiting > 0 ? caller.weight : 0;
    }
}

void FairQueue::setSlots(std::uint32_t slots)
{
    m_private->slots = std::max(1U, slots);
}

void FairQueue::push(WaitingTask task)
{
    m_private->evictIdleCallers();
    Caller &caller = m_private->callerNamed(task.demand.caller);
    if (m_private->entries.empty()) {
        m_private->lastTag = std::max(m_private->lastTag, task.enqueued);
    }
    const Instant arrival = std::min(task.enqueued, m_private->lastTag + m_private->options.tolerance);
    const Duration sizeDelay(static_cast<Duration::rep>(m_private->options.sizeWeight * static_cast<double>(task.estimate.count())));
    const Instant key = std::min(arrival + sizeDelay, task.demand.startBy - task.estimate - m_private->options.deadlineMargin);
    const Duration estimate = task.estimate;
    if (!m_private->entries.insert(Entry{ std::move(task), &caller, key, ++m_private->lastSequence }).second) {
        return;
    }
    if (caller.waiting == 0) {
        caller.clock = arrival;
        m_private->activeWeight += caller.weight;
    }
    ++caller.waiting;
    caller.work += estimate;
    m_private->work += estimate;
    m_private->reorder(caller);
}

std::optional<WaitingTask> FairQueue::remove(const TaskId &task)
{
    const auto found = m_private->entries.get<ByTask>().find(task);
    if (found == m_private->entries.get<ByTask>().end()) {
        return std::nullopt;
    }
    return m_private->take(m_private->entries.project<ByOrder>(found));
}

std::optional<WaitingTask> FairQueue::takeFirst(const Accepts &accepts)
{
    if (m_private->entries.empty()) {
        return std::nullopt;
    }
    const auto &order = m_private->entries.get<ByOrder>();
    std::size_t scanned = 0;
    for (const CallerOrder &callerOrder : m_private->activeCallers) {
        const std::uint64_t number = callerOrder.second;
        const std::size_t callerLimit = scanned + std::max<std::size_t>(1, m_private->options.scanLimit / 4);
        auto position = order.lower_bound(std::tuple(number, Instant::min(), std::uint64_t{ 0 }));
        for (; position != order.end() && position->caller->number == number && scanned < callerLimit; ++position, ++scanned) {
            if (accepts(position->waiting)) {
                return m_private->takeCharged(position);
            }
        }
        if (scanned >= m_private->options.scanLimit) {
            break;
        }
    }
    return std::nullopt;
}

void FairQueue::correctCharge(const std::string &caller, Duration difference)
{
    const auto found = m_private->callers.find(caller);
    if (found == m_private->callers.end()) {
        return;
    }
    found->second.clock += m_private->shareTime(found->second, difference);
    m_private->reorder(found->second);
}

std::vector<TaskId> FairQueue::takeExpired(Instant now)
{
    std::vector<TaskId> expired;
    auto &byDeadline = m_private->entries.get<ByDeadline>();
    while (!byDeadline.empty() && byDeadline.begin()->startBy() <= now) {
        expired.push_back(byDeadline.begin()->task());
        m_private->take(m_private->entries.project<ByOrder>(byDeadline.begin()));
    }
    return expired;
}

std::optional<Instant> FairQueue::earliestDeadline() const
{
    const auto &byDeadline = m_private->entries.get<ByDeadline>();
    return byDeadline.empty() ? std::nullopt : std::optional(byDeadline.begin()->startBy());
}

std::size_t FairQueue::size() const noexcept
{
    return m_private->entries.size();
}

Duration FairQueue::work() const noexcept
{
    return m_private->work;
}

std::size_t FairQueue::sizeOf(const std::string &caller) const
{
    const Caller *found = m_private->findCaller(caller);
    return found == nullptr ? 0 : found->waiting;
}

Duration FairQueue::workOf(const std::string &caller) const
{
    const Caller *found = m_private->findCaller(caller);
    return found == nullptr ? Duration{ 0 } : found->work;
}

double FairQueue::shareOf(const std::string &caller) const
{
    const double weight = m_private->weightOf(caller);
    return weight / (weight + m_private->weightOfOthers(caller));
}

double FairQueue::boundedShareOf(const std::string &caller) const
{
    const double weight = m_private->weightOf(caller);
    return weight / (weight + m_private->weightOfOthers(caller) + m_private->defaultWeight);
}

} // namespace lagoonroute
