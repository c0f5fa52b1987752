#include <lagoonroute/store/prefixfollower.h>

#include <algorithm>
#include <utility>

namespace lagoonroute
{

PrefixFollower::Options PrefixFollower::Options::withPrefix(std::string name, StorePurpose callPurpose) const
{
    Options changed = *this;
    changed.prefix = std::move(name);
    changed.purpose = callPurpose;
    return changed;
}

PrefixFollower::Options PrefixFollower::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

PrefixFollower::PrefixFollower(Options options, std::uint64_t callNumber)
    : m_options(std::move(options))
    , m_callNumber(callNumber)
    , m_backoff(m_options.firstBackoff, m_options.maxBackoff, m_options.seed)
{
}

std::optional<StoreCall> PrefixFollower::next(Instant now)
{
    if (m_isCallPending || now < m_dueAt) {
        return std::nullopt;
    }
    m_isCallPending = true;
    m_isListing = m_position == 0 || m_position == m_refusedPosition;
    if (m_isListing) {
        const std::string after = m_partial.items.empty() ? std::string() : m_partial.items.back().key;
        return StoreCall{ m_callNumber, m_options.purpose, StoreList{ m_options.prefix, after } };
    }
    return StoreCall{ m_callNumber, m_options.purpose, StoreWatch{ m_options.prefix, m_position, m_options.watchWait, true } };
}

std::optional<StoreListing> PrefixFollower::handle(const StoreReply &reply, Instant now)
{
    m_isCallPending = false;
    if (m_isListing) {
        return handlePage(reply, now);
    }
    switch (reply.status) {
    case StoreStatus::Unchanged:
        m_backoff.reset();
        m_position = std::max(m_position, reply.asOf);
        m_dueAt = now;
        break;
    case StoreStatus::Ok:
    case StoreStatus::NotFound:
        m_backoff.reset();
        m_position = 0;
        m_dueAt = now;
        break;
    case StoreStatus::Conflict:
        m_refusedPosition = m_position;
        m_dueAt = now;
        break;
    default:
        retry(now); // the lost answer may have reported a change
        break;
    }
    return std::nullopt;
}

std::optional<StoreListing> PrefixFollower::handlePage(const StoreReply &reply, Instant now)
{
    const bool isInOrder = m_partial.items.empty() || reply.items.empty() || m_partial.items.back().key < reply.items.front().key;
    // A page without a store version cannot be ordered against other lists, and one without keys does not lead to the next.
    if (reply.status != StoreStatus::Ok || reply.asOf == 0 || !isInOrder || (reply.isTruncated && reply.items.empty())) {
        retry(now);
        return std::nullopt;
    }
    m_backoff.reset();
    m_dueAt = now;
    if (m_partial.version == 0) {
        m_partial.version = reply.asOf; // a change after the first page may be missing, and the watch from here reports it
    }
    m_partial.items.insert(m_partial.items.end(), reply.items.begin(), reply.items.end());
    if (reply.isTruncated) {
        m_position = 0;
        return std::nullopt;
    }
    StoreListing complete = std::exchange(m_partial, {});
    m_position = complete.version;
    if (m_position == m_refusedPosition) {
        m_dueAt = now + m_options.pollInterval;
    }
    return complete;
}

/** Schedules a new list after the back-off. */
void PrefixFollower::retry(Instant now)
{
    m_position = 0;
    m_partial = {};
    m_dueAt = now + m_backoff.next();
}

std::optional<Instant> PrefixFollower::nextWake() const
{
    if (m_isCallPending) {
        return std::nullopt;
    }
    return m_dueAt;
}

} // namespace lagoonroute
