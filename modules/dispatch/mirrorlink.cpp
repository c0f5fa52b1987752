#include "mirrorlink.h"

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr std::size_t maxUpdatesInFlight = 4;
constexpr std::size_t maxRecordsPerUpdate = 256;
constexpr std::size_t maxBytesPerUpdate = 256 * 1024;
constexpr std::size_t maxTransferRecordsUnacknowledged = 1024;
constexpr Duration resendInterval = std::chrono::milliseconds(250);
constexpr Duration reconnectDelay = std::chrono::milliseconds(20);

std::size_t bytesOf(const MirrorRecord &record)
{
    std::size_t bytes = 0;
    if (const auto *job = std::get_if<JobRecorded>(&record)) {
        for (const TaskSpec &task : job->content.tasks) {
            bytes += task.body.size();
        }
    } else if (const auto *answer = std::get_if<AnswerRecorded>(&record)) {
        for (const TaskResult &result : answer->answer.results) {
            bytes += result.body.size();
        }
    }
    return bytes;
}

} // namespace

void MirrorLink::open(const ShardView &view, Instant now)
{
    *this = MirrorLink();
    m_shard = view.key;
    m_epoch = view.epoch;
    m_mirror = view.mirror;
    m_lastProgress = now;
}

std::uint64_t MirrorLink::append(MirrorRecord record)
{
    if (!hasMirror()) {
        return 0;
    }
    m_unacknowledged.push_back(std::move(record));
    return m_acknowledged + m_unacknowledged.size();
}

void MirrorLink::endTransfer()
{
    // The probe gives the end of the transfer its own record, even when the transfer has no records.
    m_transferEnd = append(MirrorProbe{});
}

void MirrorLink::send(Instant now, std::vector<AgentAction> &actions)
{
    if (!hasMirror() || m_refused) {
        return;
    }
    const bool isLate = m_sent > m_acknowledged && now - m_lastProgress >= resendInterval;
    if (isLate || (m_resendAt && *m_resendAt <= now)) {
        rewind();
    }
    const std::uint64_t end = m_acknowledged + m_unacknowledged.size();
    while (m_sent < end && m_updatesInFlight.size() < maxUpdatesInFlight) {
        if (m_updatesInFlight.empty()) {
            m_lastProgress = now;
        }
        actions.emplace_back(SendMessage{ m_mirror, nextBatch() });
    }
}

UpdateMirror MirrorLink::nextBatch()
{
    UpdateMirror message{ .shard = m_shard, .epoch = m_epoch, .sequence = m_sent };
    const std::uint64_t end = m_acknowledged + m_unacknowledged.size();
    std::size_t bytes = 0;
    while (m_sent < end && message.records.size() < maxRecordsPerUpdate && bytes < maxBytesPerUpdate) {
        const MirrorRecord &record = m_unacknowledged.at(m_sent - m_acknowledged);
        bytes += bytesOf(record);
        message.records.push_back(record);
        ++m_sent;
    }
    message.complete = m_transferEnd && m_sent >= *m_transferEnd;
    m_updatesInFlight.push_back(m_sent);
    return message;
}

void MirrorLink::receive(const MirrorUpdated &message, Instant now)
{
    if (message.epoch != m_epoch || message.shard != m_shard) {
        return;
    }
    if (!message.accepted) {
        m_refused = true;
        return;
    }
    while (m_acknowledged < message.nextSequence && !m_unacknowledged.empty()) {
        m_unacknowledged.pop_front();
        ++m_acknowledged;
        m_lastProgress = now;
    }
    m_sent = std::max(m_sent, m_acknowledged);
    while (!m_updatesInFlight.empty() && m_updatesInFlight.front() <= m_acknowledged) {
        m_updatesInFlight.pop_front();
    }
}

void MirrorLink::loseConnection(Instant now)
{
    if (hasMirror() && !m_resendAt) {
        m_resendAt = now + reconnectDelay;
    }
}

void MirrorLink::rewind()
{
    m_resendAt.reset();
    m_sent = m_acknowledged;
    m_updatesInFlight.clear();
}

bool MirrorLink::mayAppendTransfer() const noexcept
{
    return m_unacknowledged.size() < maxTransferRecordsUnacknowledged;
}

std::optional<Instant> MirrorLink::nextWake() const
{
    if (!hasMirror() || m_refused) {
        return std::nullopt;
    }
    if (m_sent <= m_acknowledged) {
        return m_resendAt;
    }
    const Instant late = m_lastProgress + resendInterval;
    return m_resendAt ? std::min(*m_resendAt, late) : late;
}

} // namespace lagoonroute
