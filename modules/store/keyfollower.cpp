#include <lagoonroute/store/keyfollower.h>

#include <algorithm>

namespace lagoonroute
{

KeyFollower::Options KeyFollower::Options::withKey(std::string name, StorePurpose callPurpose) const
{
    Options changed = *this;
    changed.key = std::move(name);
    changed.purpose = callPurpose;
    return changed;
}

KeyFollower::Options KeyFollower::Options::withWatchWait(Duration wait) const
{
    Options changed = *this;
    changed.watchWait = wait;
    return changed;
}

KeyFollower::Options KeyFollower::Options::withPollInterval(Duration interval) const
{
    Options changed = *this;
    changed.pollInterval = interval;
    return changed;
}

KeyFollower::Options KeyFollower::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

KeyFollower::KeyFollower(Options options, std::uint64_t callNumber)
    : m_options(std::move(options))
    , m_callNumber(callNumber)
    , m_backoff(m_options.firstBackoff, m_options.maxBackoff, m_options.seed)
{
}

std::optional<StoreCall> KeyFollower::next(Instant now)
{
    if (m_isCallPending || now < m_dueAt) {
        return std::nullopt;
    }
    m_isCallPending = true;
    if (m_position == 0 || m_position == m_refusedPosition) {
        return StoreCall{ m_callNumber, m_options.purpose, StoreRead{ m_options.key } };
    }
    return StoreCall{ m_callNumber, m_options.purpose, StoreWatch{ m_options.key, m_position, m_options.watchWait } };
}

std::optional<StoreEntry> KeyFollower::handle(const StoreReply &reply, Instant now)
{
    m_isCallPending = false;
    m_isInContact = reply.status != StoreStatus::Rejected && reply.status != StoreStatus::Unknown;
    if (reply.status == StoreStatus::Conflict) {
        m_refusedPosition = m_position;
        m_dueAt = now;
        return std::nullopt;
    }
    if (!m_isInContact) {
        // The lost answer may have reported a change, so the next call is a read.
        m_position = 0;
        m_dueAt = now + m_backoff.next();
        return std::nullopt;
    }
    m_backoff.reset();
    m_dueAt = now;
    m_position = std::max({ m_position, reply.asOf, reply.entry.version });
    if (m_position == m_refusedPosition) {
        m_dueAt = now + m_options.pollInterval;
    }
    if (m_position == 0) {
        m_dueAt = now + m_options.firstBackoff; // The key is missing and the answer has no store version to watch from.
    }
    if (reply.status != StoreStatus::Ok || reply.entry.version <= m_entry.version) {
        return std::nullopt;
    }
    m_entry = reply.entry;
    return m_entry;
}

std::optional<Instant> KeyFollower::nextWake() const
{
    if (m_isCallPending) {
        return std::nullopt;
    }
    return m_dueAt;
}

void KeyFollower::refresh(Instant now)
{
    m_position = 0;
    m_dueAt = now;
}

} // namespace lagoonroute
