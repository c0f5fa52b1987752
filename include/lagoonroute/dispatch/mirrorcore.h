#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/** A job as its mirror knows it. */
struct MirroredJob
{
    JobRequest content; /**< Without the tasks once the job is answered. */
    Instant deadline;
    std::map<TaskIndex, Assignment> assignments; /**< The latest of each task. */
    std::optional<JobAnswer> answer;
    Instant answeredAt; /**< When the answer was recorded here. */
};

/** Everything that a home needs to take over a shard. */
struct ShardRecords
{
    std::unordered_map<JobId, MirroredJob> jobs;
    std::optional<Instant> lostAt; /**< When earlier records of the shard were lost, if they were. */
};

/**
 * Keeps the records of one shard's home, in order and under one epoch, and acknowledges them.
 *
 * It refuses every epoch below the highest it knows of. A full transfer of a new epoch replaces the copy of the epoch
 * before only when it is complete.
 */
class MirrorCore
{
public:
    /** Creates the mirror of a shard, without records. */
    explicit MirrorCore(ShardKey shard);

    /** Records what the home sent and acknowledges or refuses it. */
    void update(NodeId home, const UpdateMirror &message, Instant now, std::vector<AgentAction> &actions);

    /** Refuses every lower epoch from now on. Irrevocable: whoever proposed must go on until a view takes effect. */
    void propose(Epoch epoch);

    /** Follows a change of the view in which this agent stays the mirror, or becomes it. */
    void follow(const ShardView &view);

    /** Tells whether the copy is complete for a view that replaces the one under which it was kept. */
    [[nodiscard]] bool isComplete() const noexcept
    {
        return m_hasCopy;
    }

    /** Tells whether the copy may be promoted under the given epoch. */
    [[nodiscard]] bool mayBePromoted(Epoch epoch) const noexcept
    {
        return m_hasCopy && epoch == m_epoch + 1;
    }

    /** Highest epoch under which this agent is known to be the mirror. */
    [[nodiscard]] Epoch epoch() const noexcept
    {
        return m_epoch;
    }

    /** Number of jobs recorded. */
    [[nodiscard]] std::size_t jobCount() const noexcept
    {
        return m_records.jobs.size();
    }

    /** Hands the records over to a promoted home; the mirror is empty afterwards. */
    ShardRecords takeRecords();

private:
    void enter(Epoch epoch);
    void apply(const MirrorRecord &record, Instant now);

    ShardKey m_shard;
    Epoch m_epoch = 0;
    Epoch m_lowestAccepted = 0;
    std::uint64_t m_nextSequence = 0;
    bool m_hasCopy = false; /**< m_records is complete. */
    bool m_transferring = true; /**< Records go to m_incoming. */
    ShardRecords m_records;
    ShardRecords m_incoming;
};

} // namespace lagoonroute
