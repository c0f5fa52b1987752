#pragma once

#include <lagoonroute/dispatch/events.h>

#include <deque>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * The home's side of the replication to its mirror: numbers records, sends them in batches and resends unacknowledged ones.
 *
 * Records are sent immediately while few updates are in flight, and batched while many are.
 */
class MirrorLink
{
public:
    /** Starts replication to the mirror of the view. Without a mirror, every record counts as acknowledged immediately. */
    void open(const ShardView &view, Instant now);

    /** Appends a record and returns the number to pass to isAcknowledged(). */
    std::uint64_t append(MirrorRecord record);

    /** Ends the full transfer: the records appended so far form a complete copy. */
    void endTransfer();

    /** Sends new records, and resends all unacknowledged ones after a time without progress. */
    void send(Instant now, std::vector<AgentAction> &actions);

    /** Handles an acknowledgement or a refusal. */
    void receive(const MirrorUpdated &message, Instant now);

    /** Schedules one resend of all unacknowledged records after a short delay, because messages may be lost. */
    void loseConnection(Instant now);

    /** Whether the view has a mirror. */
    [[nodiscard]] bool hasMirror() const noexcept
    {
        return m_mirror.isValid();
    }

    /** The mirror of the view. */
    [[nodiscard]] NodeId mirror() const noexcept
    {
        return m_mirror;
    }

    /** Whether the mirror refused the epoch, because another home has replaced this one or is about to. */
    [[nodiscard]] bool isRefused() const noexcept
    {
        return m_refused;
    }

    /** Whether the mirror has acknowledged the full transfer and accepts the epoch. */
    [[nodiscard]] bool isSynchronised() const noexcept
    {
        return !m_refused && m_transferEnd && m_acknowledged >= *m_transferEnd;
    }

    /** Whether the mirror has stored the record of this number as part of a complete copy. */
    [[nodiscard]] bool isAcknowledged(std::uint64_t number) const noexcept
    {
        return !hasMirror() || (isSynchronised() && m_acknowledged >= number);
    }

    /** Whether the full transfer may append more records now. */
    [[nodiscard]] bool mayAppendTransfer() const noexcept;

    /** Time of the next resend, or nothing when none is scheduled. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    UpdateMirror nextBatch();
    void rewind();

    ShardKey m_shard;
    Epoch m_epoch = 0;
    NodeId m_mirror;
    bool m_refused = false;
    std::optional<std::uint64_t> m_transferEnd;
    std::deque<MirrorRecord> m_unacknowledged;
    std::uint64_t m_acknowledged = 0; /**< Number of the first record in m_unacknowledged. */
    std::uint64_t m_sent = 0;
    std::deque<std::uint64_t> m_updatesInFlight; /**< For each update, the number after its last record. */
    Instant m_lastProgress;
    std::optional<Instant> m_resendAt;
};

} // namespace lagoonroute
