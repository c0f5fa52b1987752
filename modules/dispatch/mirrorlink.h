#pragma once

#include <lagoonroute/dispatch/events.h>

#include <deque>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * The home's side of its mirror: numbers records, sends them in batches, repeats what is not acknowledged.
 *
 * Records are sent at once while few updates are on their way, and gathered while many are.
 */
class MirrorLink
{
public:
    /** Begins to record at the mirror of the view; a view without one acknowledges everything at once. */
    void open(const ShardView &view, Instant now);

    /** Appends a record and returns the number that acknowledged() asks for. */
    std::uint64_t append(MirrorRecord record);

    /** Ends the full transfer: what is recorded up to here is a complete copy. */
    void endTransfer();

    /** Sends what is due: new records, or after a time without progress all that is not acknowledged. */
    void send(Instant now, std::vector<AgentAction> &actions);

    /** Handles an acknowledgement or a refusal. */
    void receive(const MirrorUpdated &message, Instant now);

    /** Notes that messages may be lost: all that is not acknowledged is sent again a little later, once. */
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

    /** Whether the mirror refused the epoch: another home decides, or soon will. */
    [[nodiscard]] bool isRefused() const noexcept
    {
        return m_refused;
    }

    /** Whether the mirror has acknowledged the full transfer and accepts the epoch. */
    [[nodiscard]] bool isSynchronised() const noexcept
    {
        return !m_refused && m_transferEnd && m_acknowledged >= *m_transferEnd;
    }

    /** Whether the mirror has the record of that number, within a complete copy. */
    [[nodiscard]] bool isAcknowledged(std::uint64_t number) const noexcept
    {
        return !hasMirror() || (isSynchronised() && m_acknowledged >= number);
    }

    /** Whether a full transfer may append more now. */
    [[nodiscard]] bool hasRoom() const noexcept;

    /** When send() is due by time alone. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    UpdateMirror nextBatch();
    void repeat();

    ShardKey m_shard;
    Epoch m_epoch = 0;
    NodeId m_mirror;
    bool m_refused = false;
    std::optional<std::uint64_t> m_transferEnd;
    std::deque<MirrorRecord> m_unacknowledged;
    std::uint64_t m_acknowledged = 0; /**< Number of the first record in m_unacknowledged. */
    std::uint64_t m_sent = 0;
    std::deque<std::uint64_t> m_updatesOnTheWay; /**< Number after the last record of each. */
    Instant m_lastProgress;
    std::optional<Instant> m_repeatAt;
};

} // namespace lagoonroute
