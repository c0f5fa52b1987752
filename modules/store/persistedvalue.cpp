#include <lagoonroute/store/persistedvalue.h>

namespace lagoonroute
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration firstBackoff = 100ms;
constexpr Duration maxBackoff = 2s;

} // namespace

PersistedValue::PersistedValue(std::string key, StorePurpose purpose, std::uint64_t callNumber, std::uint64_t seed)
    : m_key(std::move(key))
    , m_purpose(purpose)
    , m_callNumber(callNumber)
    , m_backoff(firstBackoff, maxBackoff, seed)
{
}

void PersistedValue::set(std::string value)
{
    m_desiredValue = std::move(value);
}

std::optional<StoreCall> PersistedValue::next(Instant now)
{
    if (m_isCallPending || now < m_dueAt) {
        return std::nullopt;
    }
    if (!m_isStoredEntryKnown) {
        m_isCallPending = true;
        m_wasLastCallSwap = false;
        return StoreCall{ m_callNumber, m_purpose, StoreRead{ m_key } };
    }
    if (!m_desiredValue || *m_desiredValue == m_stored.value) {
        return std::nullopt;
    }
    m_isCallPending = true;
    m_wasLastCallSwap = true;
    m_sentValue = *m_desiredValue;
    return StoreCall{ m_callNumber, m_purpose, StoreSwap{ m_key, *m_desiredValue, m_stored.version } };
}

std::optional<std::string> PersistedValue::handle(const StoreReply &reply, Instant now)
{
    m_isCallPending = false;
    const bool isAnswer = reply.status == StoreStatus::Ok || (!m_wasLastCallSwap && reply.status == StoreStatus::NotFound);
    if (!isAnswer) {
        m_isStoredEntryKnown = false;
        m_dueAt = now + m_backoff.next();
        return std::nullopt;
    }
    m_backoff.reset();
    m_isStoredEntryKnown = true;
    if (m_wasLastCallSwap) {
        m_stored = StoreEntry{ m_sentValue, reply.entry.version };
        return std::nullopt;
    }
    m_stored = reply.entry;
    if (std::exchange(m_hasReadOnce, true) || m_stored.version == 0) {
        return std::nullopt;
    }
    return m_stored.value;
}

std::optional<Instant> PersistedValue::nextWake() const
{
    const bool hasWork = !m_isStoredEntryKnown || (m_desiredValue && *m_desiredValue != m_stored.value);
    if (m_isCallPending || !hasWork) {
        return std::nullopt;
    }
    return m_dueAt;
}

} // namespace lagoonroute
