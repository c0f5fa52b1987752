#include <lagoonroute/store/storemodel.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr Duration rateWindow = std::chrono::seconds(1);

} // namespace

StoreModel::StoreModel(std::uint64_t seed)
    : m_random(seed)
{
}

void StoreModel::setFaults(const StoreFaults &faults)
{
    m_faults = faults;
}

bool StoreModel::draw(double chance)
{
    return chance > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < chance;
}

bool StoreModel::admits(bool write, Instant now)
{
    if (now - m_rateWindowStart >= rateWindow) {
        m_rateWindowStart = now;
        m_writesInWindow = 0;
        m_readsInWindow = 0;
    }
    const std::uint32_t limit = write ? m_faults.writesPerSecond : m_faults.readsPerSecond;
    std::uint32_t &used = write ? m_writesInWindow : m_readsInWindow;
    if (limit != 0 && used >= limit) {
        return false;
    }
    ++used;
    return true;
}

void StoreModel::submit(Session session, const StoreCall &call, Instant now)
{
    if (m_faults.down || draw(m_faults.requestLoss)) {
        return;
    }
    expireLeases(now);
    const bool write = std::holds_alternative<StoreSwap>(call.operation) || std::holds_alternative<StoreLease>(call.operation);
    if (!admits(write, now)) {
        ++m_counts.rejected;
        queueAnswer(session, StoreReply{ .number = call.number, .status = StoreStatus::Rejected }, now);
        return;
    }
    std::optional<StoreReply> reply = apply(session, call, now);
    const bool isAnswerDropped = write && m_faults.loseAnswers > 0;
    if (isAnswerDropped) {
        --m_faults.loseAnswers;
    }
    if (reply && !isAnswerDropped && !draw(m_faults.answerLoss)) {
        reply->number = call.number;
        queueAnswer(session, std::move(*reply), now);
    }
}

std::optional<StoreReply> StoreModel::apply(Session session, const StoreCall &call, Instant now)
{
    if (const auto *readCall = std::get_if<StoreRead>(&call.operation)) {
        ++m_counts.reads;
        return read(*readCall);
    }
    if (const auto *swapCall = std::get_if<StoreSwap>(&call.operation)) {
        ++m_counts.swaps;
        return swap(*swapCall, now);
    }
    if (const auto *leaseCall = std::get_if<StoreLease>(&call.operation)) {
        ++m_counts.leases;
        return lease(*leaseCall, now);
    }
    if (const auto *listCall = std::get_if<StoreList>(&call.operation)) {
        ++m_counts.reads;
        return list(*listCall);
    }
    ++m_counts.watches;
    const auto &watch = std::get<StoreWatch>(call.operation);
    if (watch.isPrefix) {
        return StoreReply{ .status = StoreStatus::Rejected }; // only the stand-in of the platform's own store serves these
    }
    const StoreEntry current = entry(watch.key);
    if (current.version > watch.knownVersion) {
        return StoreReply{ .status = StoreStatus::Ok, .entry = current };
    }
    m_watchers.push_back({ session, call.number, watch.key, watch.knownVersion, now + watch.wait });
    return std::nullopt;
}

StoreReply StoreModel::read(const StoreRead &operation) const
{
    const StoreEntry current = entry(operation.key);
    return StoreReply{ .status = current.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, .entry = current };
}

StoreReply StoreModel::list(const StoreList &operation) const
{
    StoreReply reply{ .status = StoreStatus::Ok, .asOf = m_lastVersion };
    for (const auto &[key, stored] : m_entries) {
        if (key.rfind(operation.prefix, 0) == 0 && key > operation.after && stored.version != 0) {
            reply.items.push_back(StoreItem{ key, stored.value, stored.version });
        }
    }
    return reply;
}

StoreReply StoreModel::swap(const StoreSwap &operation, Instant now)
{
    if (operation.value.size() > maxStoreValueBytes) {
        return StoreReply{ .status = StoreStatus::Rejected };
    }
    StoreEntry &current = m_entries[operation.key];
    if (current.version != operation.expectedVersion) {
        return StoreReply{ .status = StoreStatus::Conflict, .entry = current };
    }
    current = { operation.value, ++m_lastVersion };
    const StoreReply reply{ .status = StoreStatus::Ok, .entry = current };
    notifyWatchers(operation.key, now);
    return reply;
}

StoreReply StoreModel::lease(const StoreLease &operation, Instant now)
{
    Lease &held = m_leases[operation.key];
    if (!held.holder.empty() && held.holder != operation.holder) {
        return StoreReply{ .status = StoreStatus::Conflict, .entry = { held.holder, held.version } };
    }
    if (held.holder.empty()) {
        held.version = ++m_lastVersion;
    }
    held.holder = operation.holder;
    held.until = now + operation.term;
    return StoreReply{ .status = StoreStatus::Ok, .entry = { held.holder, held.version } };
}

void StoreModel::expireLeases(Instant now)
{
    std::erase_if(m_leases, [now](const auto &lease) { return lease.second.until <= now; });
}

void StoreModel::queueAnswer(Session session, StoreReply reply, Instant now)
{
    m_pendingAnswers.push_back({ now + m_faults.delay, { session, std::move(reply) } });
}

void StoreModel::notifyWatchers(const std::string &key, Instant now)
{
    const StoreEntry current = entry(key);
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        if (watcher.key != key || current.version <= watcher.knownVersion) {
            return false;
        }
        queueAnswer(watcher.session, StoreReply{ .number = watcher.number, .status = StoreStatus::Ok, .entry = current }, now);
        return true;
    });
}

std::vector<StoreModel::Delivery> StoreModel::poll(Instant now)
{
    std::vector<Delivery> due;
    expireLeases(now);
    if (m_faults.down) {
        return due;
    }
    std::erase_if(m_watchers, [&](const Watcher &watcher) {
        if (watcher.until > now) {
            return false;
        }
        queueAnswer(watcher.session, StoreReply{ .number = watcher.number, .status = StoreStatus::Unchanged }, now);
        return true;
    });
    std::erase_if(m_pendingAnswers, [&](Answer &pending) {
        if (pending.due > now) {
            return false;
        }
        due.push_back(std::move(pending.delivery));
        return true;
    });
    return due;
}

std::optional<Instant> StoreModel::nextWake() const
{
    std::optional<Instant> wake;
    if (m_faults.down) {
        return wake;
    }
    const auto consider = [&wake](Instant instant) { wake = wake ? std::min(*wake, instant) : instant; };
    for (const Watcher &watcher : m_watchers) {
        consider(watcher.until);
    }
    for (const Answer &pending : m_pendingAnswers) {
        consider(pending.due);
    }
    return wake;
}

void StoreModel::dropSession(Session session)
{
    std::erase_if(m_watchers, [session](const Watcher &watcher) { return watcher.session == session; });
    std::erase_if(m_pendingAnswers, [session](const Answer &pending) { return pending.delivery.session == session; });
}

StoreEntry StoreModel::entry(const std::string &key) const
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        return found->second;
    }
    const auto lease = m_leases.find(key);
    return lease == m_leases.end() ? StoreEntry{} : StoreEntry{ lease->second.holder, lease->second.version };
}

const StoreModel::Counts &StoreModel::counts() const noexcept
{
    return m_counts;
}

} // namespace lagoonroute
