#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/** Copy of a job's record at the mirror. */
struct MirroredJob
{
    JobRequest content; /**< Without the tasks once the job is answered. */
    Instant deadline;
    std::map<TaskIndex, Assignment> assignments; /**< The latest assignment of each task. */
    std::optional<JobAnswer> answer;
    Instant answeredAt; /**< Time at which the answer was recorded here. */
};

/** The records that a home needs to take over a shard. */
struct ShardRecords
{
    std::unordered_map<JobId, MirroredJob> jobs;
    std::optional<Instant> lostAt; /**< Time at which earlier records of the shard were lost, if any were. */
};

/**
 * Stores the records of one shard's home, in order and under one epoch, and acknowledges them.
 *
 * It refuses every epoch below the highest one it has seen. A full transfer of a new epoch replaces the copy of the
 * previous epoch only once it is complete.
 */
class MirrorCore
{
public:
    /** Creates the mirror of a shard, without records. */
    explicit MirrorCore(ShardKey shard);

    /** Records what the home sent and acknowledges or refuses it. */
    void update(NodeId home, const UpdateMirror &message, Instant now, std::vector<AgentAction> &actions);

    /** Refuses every epoch below the given one from now on. Irrevocable: a proposed promotion must be retried until a view takes effect. */
    void refuseBelow(Epoch epoch);

    /** Handles a view in which this agent remains or becomes the mirror. */
    void changeView(const ShardView &view);

    /** Whether a complete copy exists, either of the current epoch or of the one directly before it. */
    [[nodiscard]] bool hasCompleteCopy() const noexcept
    {
        return m_hasCopy;
    }

    /** Whether the copy may be promoted under the given epoch. */
    [[nodiscard]] bool mayBePromoted(Epoch epoch) const noexcept
    {
        return m_hasCopy && epoch == m_epoch + 1;
    }

    /** Highest epoch under which this agent is known to be the mirror. */
    [[nodiscard]] Epoch epoch() const noexcept
    {
        return m_epoch;
    }

    /** Number of recorded jobs. */
    [[nodiscard]] std::size_t jobCount() const noexcept
    {
        return m_records.jobs.size();
    }

    /** Moves the records out for a promoted home; the mirror is empty afterwards. */
    ShardRecords takeRecords();

private:
    void enterEpoch(Epoch epoch);
    void apply(const MirrorRecord &record, Instant now);

    ShardKey m_shard;
    Epoch m_epoch = 0;
    Epoch m_lowestAccepted = 0;
    std::uint64_t m_nextSequence = 0;
    bool m_hasCopy = false; /**< Whether m_records is a complete copy. */
    bool m_transferring = true; /**< Whether a full transfer is in progress and records go to m_incoming. */
    ShardRecords m_records;
    ShardRecords m_incoming;
};

} // namespace lagoonroute
