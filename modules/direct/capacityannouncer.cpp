#include <lagoonroute/direct/capacityannouncer.h>

#include <algorithm>
#include <tuple>

namespace lagoonroute
{

namespace
{

/** Weight of one start in the usual need. */
constexpr double needGain = 0.1;

} // namespace

CapacityAnnouncer::CapacityAnnouncer(Options options)
    : m_options(options)
{
}

void CapacityAnnouncer::open(LinkId link)
{
    m_listeners[link] = Listener{};
}

void CapacityAnnouncer::close(LinkId link)
{
    endTurn(link);
    m_listeners.erase(link);
}

void CapacityAnnouncer::endTurn(LinkId link)
{
    if (m_turn == link) {
        m_turn.reset();
    }
}

void CapacityAnnouncer::want(LinkId link, const CapacityRequest &wanted, Instant now)
{
    const auto found = m_listeners.find(link);
    if (found == m_listeners.end()) {
        return;
    }
    endTurn(link);
    Listener &listener = found->second;
    if (!wanted.hasWaitingTasks) {
        listener.wanted.reset();
        return;
    }
    if (!listener.wanted) {
        listener.wantedAt = now;
    }
    listener.wanted = wanted;
}

void CapacityAnnouncer::startHandled(LinkId link, const Resources &need)
{
    m_usualNeed += (static_cast<double>(need.cpuMillis) - m_usualNeed) * (m_usualNeed > 0 ? needGain : 1);
    endTurn(link);
    const auto found = m_listeners.find(link);
    if (found != m_listeners.end()) {
        found->second.hasNews = true;
    }
}

/** Number of entries that may hear of the room. */
std::size_t CapacityAnnouncer::audience(const Resources &free) const
{
    if (m_usualNeed <= 0) {
        return m_listeners.size();
    }
    return static_cast<std::size_t>(m_options.entriesPerStart * static_cast<double>(free.cpuMillis) / m_usualNeed);
}

std::optional<LinkId> CapacityAnnouncer::nextTurn(const Resources &free) const
{
    std::optional<LinkId> best;
    std::tuple<std::uint32_t, Instant> bestPlace;
    for (const auto &[link, listener] : m_listeners) {
        if (!listener.wanted || !listener.wanted->need.fitsInto(free)) {
            continue;
        }
        const std::tuple place(listener.wanted->priority, listener.wantedAt);
        if (!best || place < bestPlace) {
            best = link;
            bestPlace = place;
        }
    }
    return best;
}

std::vector<LinkId> CapacityAnnouncer::joiners(std::size_t count) const
{
    std::vector<LinkId> waiting;
    for (const auto &[link, listener] : m_listeners) {
        if (link != m_turn && listener.said == Resources{}) {
            waiting.push_back(link);
        }
    }
    const auto next = std::lower_bound(waiting.begin(), waiting.end(), m_nextJoiner);
    std::rotate(waiting.begin(), next, waiting.end());
    waiting.resize(std::min(waiting.size(), count));
    return waiting;
}

void CapacityAnnouncer::state(LinkId link, const Resources &room, bool isExclusive, Instant now, std::vector<Statement> &statements)
{
    Listener &listener = m_listeners[link];
    listener.said = room;
    listener.saidAt = now;
    listener.hasNews = false;
    statements.push_back(Statement{ link, room, isExclusive });
}

void CapacityAnnouncer::beginTurn(const Resources &free, Instant now, std::vector<Statement> &statements)
{
    if (m_turn && now >= m_turnUntil) {
        m_turn.reset();
    }
    if (m_turn) {
        return;
    }
    m_turn = nextTurn(free);
    if (m_turn) {
        m_listeners[*m_turn].wanted.reset();
        m_turnUntil = now + m_options.turnTime;
        state(*m_turn, free, true, now, statements);
    }
}

std::vector<CapacityAnnouncer::Statement> CapacityAnnouncer::due(const Resources &free, const Resources &capacity, Instant now)
{
    std::vector<Statement> statements;
    beginTurn(free, now, statements);
    m_wake = m_turn ? std::optional(m_turnUntil) : std::nullopt;
    const bool isPlenty = !m_turn && free.cpuMillis > capacity.cpuMillis / m_options.plentyPart;
    const Duration interval = isPlenty ? m_options.plentyInterval : m_options.interval;
    const auto isLater = [&](const Listener &listener) {
        const Instant dueAt = listener.saidAt + interval;
        if (now < dueAt) {
            m_wake = std::min(m_wake.value_or(dueAt), dueAt);
        }
        return now < dueAt;
    };
    // What is told to one entry alone is taken for the others. Entries that know of room keep hearing of it.
    std::size_t seats = m_turn ? 0 : audience(free);
    for (auto &[link, listener] : m_listeners) {
        if (link == m_turn || listener.said == Resources{}) {
            continue;
        }
        const Resources room = seats > 0 ? free : Resources{};
        seats -= std::min<std::size_t>(seats, 1);
        if ((listener.hasNews || listener.said != room) && !isLater(listener)) {
            state(link, room, false, now, statements);
        }
    }
    for (const LinkId link : joiners(free == Resources{} ? 0 : seats)) {
        if (!isLater(m_listeners[link])) {
            m_nextJoiner = link + 1;
            state(link, free, false, now, statements);
        }
    }
    return statements;
}

} // namespace lagoonroute
