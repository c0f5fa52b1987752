#include <lagoonroute/store/storeclientcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

bool isWrite(const StoreOperation &operation)
{
    return std::holds_alternative<StoreSwap>(operation) || std::holds_alternative<StoreLease>(operation);
}

Duration waitOf(const StoreOperation &operation)
{
    const auto *watch = std::get_if<StoreWatch>(&operation);
    return watch == nullptr ? Duration{ 0 } : watch->wait;
}

bool isTooLarge(const StoreOperation &operation)
{
    const auto *swap = std::get_if<StoreSwap>(&operation);
    return swap != nullptr && swap->value.size() > maxStoreValueBytes;
}

} // namespace

StoreClientCore::Options StoreClientCore::Options::withReads(double perSecond, double burst) const
{
    Options changed = *this;
    changed.readsPerSecond = perSecond;
    changed.readBurst = burst;
    return changed;
}

StoreClientCore::Options StoreClientCore::Options::withWrites(double perSecond, double burst) const
{
    Options changed = *this;
    changed.writesPerSecond = perSecond;
    changed.writeBurst = burst;
    return changed;
}

StoreClientCore::Options StoreClientCore::Options::withTimeout(Duration answerTimeout) const
{
    Options changed = *this;
    changed.timeout = answerTimeout;
    return changed;
}

StoreClientCore::Options StoreClientCore::Options::withBackoff(Duration first, Duration longest) const
{
    Options changed = *this;
    changed.firstBackoff = first;
    changed.maxBackoff = longest;
    return changed;
}

StoreClientCore::Options StoreClientCore::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

StoreClientCore::StoreClientCore(const Options &options)
    : m_options(options)
    , m_reads(options.readsPerSecond, options.readBurst)
    , m_writes(options.writesPerSecond, options.writeBurst)
    , m_breaker(options.failuresToOpen, Backoff(options.firstBackoff, options.maxBackoff, options.seed))
{
}

bool StoreClientCore::isAdmitted(const StoreCall &call, Instant now)
{
    if (isTooLarge(call.operation)) {
        return false;
    }
    TokenBucket &budget = isWrite(call.operation) ? m_writes : m_reads;
    return budget.take(now) && m_breaker.admit(now);
}

void StoreClientCore::submit(const StoreCall &call, Instant now, Actions &actions)
{
    StoreCallCounts &counts = mutableCounts(call.purpose);
    if (!isAdmitted(call, now)) {
        ++counts.refused;
        actions.replies.push_back({ .number = call.number, .status = StoreStatus::Rejected, .purpose = call.purpose });
        return;
    }
    ++counts.sent;
    const std::uint64_t number = ++m_lastNumber;
    m_pendingCalls[number] = { call.number, call.purpose, now + m_options.timeout + waitOf(call.operation) };
    actions.calls.push_back({ number, call.purpose, call.operation });
}

void StoreClientCore::handle(const StoreReply &reply, Instant now, Actions &actions)
{
    const auto found = m_pendingCalls.find(reply.number);
    if (found == m_pendingCalls.end()) {
        return;
    }
    const PendingCall pending = found->second;
    m_pendingCalls.erase(found);
    if (reply.status == StoreStatus::Unknown) {
        ++mutableCounts(pending.purpose).timedOut;
        m_breaker.failed(now);
    } else {
        ++mutableCounts(pending.purpose).answered;
        m_breaker.succeeded();
    }
    StoreReply forwarded = reply;
    forwarded.number = pending.callerNumber;
    forwarded.purpose = pending.purpose;
    actions.replies.push_back(std::move(forwarded));
}

void StoreClientCore::rejectUnsent(std::uint64_t number, Actions &actions)
{
    const auto found = m_pendingCalls.find(number);
    if (found == m_pendingCalls.end()) {
        return;
    }
    const PendingCall pending = found->second;
    m_pendingCalls.erase(found);
    ++mutableCounts(pending.purpose).refused;
    actions.replies.push_back({ .number = pending.callerNumber, .status = StoreStatus::Rejected, .purpose = pending.purpose });
}

void StoreClientCore::handleTimers(Instant now, Actions &actions)
{
    for (auto next = m_pendingCalls.begin(); next != m_pendingCalls.end();) {
        const auto current = next++;
        if (current->second.deadline <= now) {
            handle(StoreReply{ .number = current->first, .status = StoreStatus::Unknown }, now, actions);
        }
    }
}

std::optional<Instant> StoreClientCore::nextWake() const
{
    std::optional<Instant> wake;
    for (const auto &[number, pending] : m_pendingCalls) {
        wake = wake ? std::min(*wake, pending.deadline) : pending.deadline;
    }
    return wake;
}

const StoreCallCounts &StoreClientCore::counts(StorePurpose purpose) const
{
    return m_counts.at(static_cast<std::size_t>(purpose));
}

StoreCallCounts &StoreClientCore::mutableCounts(StorePurpose purpose)
{
    return m_counts.at(static_cast<std::size_t>(purpose));
}

CircuitState StoreClientCore::circuit() const
{
    return m_breaker.state();
}

} // namespace lagoonroute
