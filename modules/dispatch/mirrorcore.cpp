#include <lagoonroute/dispatch/mirrorcore.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

namespace
{

/** Applies one record to a copy of the home's records. */
class RecordApplier
{
public:
    RecordApplier(ShardRecords &records, Instant now)
        : m_records(records)
        , m_now(now)
    {
    }

    void operator()(const JobRecorded &record) const
    {
        MirroredJob &job = m_records.jobs[record.job];
        if (job.answer) {
            job.content.bodyDigest = record.content.bodyDigest;
            return;
        }
        job.content = record.content;
        job.deadline = m_now + record.content.timeRemaining;
    }

    void operator()(const Assignment &record) const
    {
        const auto job = m_records.jobs.find(record.task.job);
        if (job != m_records.jobs.end() && !job->second.answer) {
            job->second.assignments.insert_or_assign(record.task.index, record);
        }
    }

    void operator()(const AnswerRecorded &record) const
    {
        MirroredJob &job = m_records.jobs[record.job];
        job.answer = record.answer;
        job.answeredAt = m_now;
        job.assignments.clear();
        job.content = JobRequest{ .bodyDigest = job.content.bodyDigest };
    }

    void operator()(const JobExpired &record) const
    {
        m_records.jobs.erase(record.job);
    }

    void operator()(const RecordsLost &record) const
    {
        m_records.lostAt = m_now - record.age;
    }

    void operator()(const MirrorProbe & /*record*/) const
    {
    }

private:
    ShardRecords &m_records;
    Instant m_now;
};

} // namespace

MirrorCore::MirrorCore(ShardKey shard)
    : m_shard(std::move(shard))
{
}

void MirrorCore::update(NodeId home, const UpdateMirror &message, Instant now, std::vector<AgentAction> &actions)
{
    if (message.epoch < m_lowestAccepted) {
        actions.emplace_back(SendMessage{ home, MirrorUpdated{ m_shard, message.epoch, 0, false } });
        return;
    }
    if (message.epoch > m_epoch) {
        enterEpoch(message.epoch);
    }
    m_lowestAccepted = message.epoch;
    const std::uint64_t end = message.sequence + message.records.size();
    if (message.sequence <= m_nextSequence && end >= m_nextSequence) {
        for (std::uint64_t sequence = m_nextSequence; sequence < end; ++sequence) {
            apply(message.records.at(sequence - message.sequence), now);
        }
        m_nextSequence = end;
        if (message.complete && m_transferring) {
            m_records = std::exchange(m_incoming, {});
            m_transferring = false;
            m_hasCopy = true;
        }
    }
    actions.emplace_back(SendMessage{ home, MirrorUpdated{ m_shard, message.epoch, m_nextSequence, true } });
}

void MirrorCore::refuseBelow(Epoch epoch)
{
    m_lowestAccepted = std::max(m_lowestAccepted, epoch);
}

void MirrorCore::changeView(const ShardView &view)
{
    m_lowestAccepted = std::max(m_lowestAccepted, view.epoch);
    if (view.epoch > m_epoch) {
        enterEpoch(view.epoch);
    }
    if (!view.recordsKept && m_transferring) {
        m_hasCopy = false;
        m_records = {};
    }
}

ShardRecords MirrorCore::takeRecords()
{
    m_hasCopy = false;
    return std::exchange(m_records, {});
}

void MirrorCore::enterEpoch(Epoch epoch)
{
    // The copy stays usable only if no epoch was skipped, in which another mirror could have recorded changes.
    if (epoch != m_epoch + 1) {
        m_hasCopy = false;
        m_records = {};
    }
    m_epoch = epoch;
    m_nextSequence = 0;
    m_transferring = true;
    m_incoming = {};
}

void MirrorCore::apply(const MirrorRecord &record, Instant now)
{
    std::visit(RecordApplier(m_transferring ? m_incoming : m_records, now), record);
}

} // namespace lagoonroute
