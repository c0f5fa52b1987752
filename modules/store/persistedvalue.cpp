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
    m_wanted = std::move(value);
}

std::optional<StoreCall> PersistedValue::next(Instant now)
{
    if (m_isUnderWay || now < m_dueAt) {
        return std::nullopt;
    }
    if (!m_isRead) {
        m_isUnderWay = true;
        m_isSwap = false;
        return StoreCall{ m_callNumber, m_purpose, StoreRead{ m_key } };
    }
    if (!m_wanted || *m_wanted == m_stored.value) {
        return std::nullopt;
    }
    m_isUnderWay = true;
    m_isSwap = true;
    m_sent = *m_wanted;
    return StoreCall{ m_callNumber, m_purpose, StoreSwap{ m_key, *m_wanted, m_stored.version } };
}

std::optional<std::string> PersistedValue::handle(const StoreReply &reply, Instant now)
{
    m_isUnderWay = false;
    const bool isAnswer = reply.status == StoreStatus::Ok || (!m_isSwap && reply.status == StoreStatus::NotFound);
    if (!isAnswer) {
        m_isRead = false;
        m_dueAt = now + m_backoff.next();
        return std::nullopt;
    }
    m_backoff.reset();
    m_isRead = true;
    if (m_isSwap) {
        m_stored = StoreEntry{ m_sent, reply.entry.version };
        return std::nullopt;
    }
    m_stored = reply.entry;
    if (std::exchange(m_wasEverRead, true) || m_stored.version == 0) {
        return std::nullopt;
    }
    return m_stored.value;
}

std::optional<Instant> PersistedValue::nextWake() const
{
    const bool hasWork = !m_isRead || (m_wanted && *m_wanted != m_stored.value);
    if (m_isUnderWay || !hasWork) {
        return std::nullopt;
    }
    return m_dueAt;
}

} // namespace lagoonroute
