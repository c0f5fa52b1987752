#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/direct/linkmessages.h>

#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/**
 * Decides which entries hear of the free room of an upstream, and when.
 *
 * Room told to everybody would be asked for by everybody, and all but a few would be refused. So while little is free, it
 * is told to as many entries as it suffices for; an entry that has tasks waiting asks, and is then told alone, the most
 * urgent first.
 */
class CapacityAnnouncer
{
public:
    /** Times of the statements. */
    struct Options
    {
        Duration interval = std::chrono::milliseconds(4); /**< Least time between two statements on a link; about one decision and two ways. */
        Duration plentyInterval = std::chrono::milliseconds(25); /**< The same while much room is free, and an old statement does no harm. */
        std::uint32_t plentyPart = 4; /**< Much is more than this part of the upstream's processors. */
        double entriesPerStart = 1.5; /**< Entries that hear of room at once, for each start that it suffices for: some have nothing to start. */
        Duration turnTime = std::chrono::milliseconds(8); /**< For the start of an entry that was told alone: two ways, and its own wait for the processor. */
    };

    /** One statement to be made. */
    struct Statement
    {
        LinkId link = 0;
        Resources free;
        bool isExclusive = false; /**< Whether this entry alone is told. */

        auto operator<=>(const Statement &) const = default;
    };

    explicit CapacityAnnouncer(Options options);

    /** An entry hears of free room from now on. */
    void open(LinkId link);

    /** The link is gone. */
    void close(LinkId link);

    /** An entry waits for room, or does no longer. Either way its turn is over. */
    void want(LinkId link, const CapacityRequest &wanted, Instant now);

    /** A start of an entry was handled; its turn is over. */
    void startHandled(LinkId link, const Resources &need);

    /** Returns the statements that are due. */
    std::vector<Statement> due(const Resources &free, const Resources &capacity, Instant now);

    /** Time of the next due() unless an event comes first; as of the last due(). */
    [[nodiscard]] std::optional<Instant> nextWake() const noexcept
    {
        return m_wake;
    }

private:
    struct Listener
    {
        bool hasNews = true; // its starts were handled since the last statement
        Instant saidAt;
        Resources said;
        std::optional<CapacityRequest> wanted;
        Instant wantedAt;
    };

    void endTurn(LinkId link);
    [[nodiscard]] std::optional<LinkId> nextTurn(const Resources &free) const;
    [[nodiscard]] std::size_t audience(const Resources &free) const;
    [[nodiscard]] std::vector<LinkId> joiners(std::size_t count) const;
    void beginTurn(const Resources &free, Instant now, std::vector<Statement> &statements);
    void state(LinkId link, const Resources &room, bool isExclusive, Instant now, std::vector<Statement> &statements);

    Options m_options;
    std::map<LinkId, Listener> m_listeners;
    double m_usualNeed = 0; // processors of a start, in thousandths, smoothed
    std::optional<LinkId> m_turn; // entry that was told alone
    Instant m_turnUntil;
    LinkId m_nextJoiner = 0; // entries hear of room first by turns
    std::optional<Instant> m_wake;
};

} // namespace lagoonroute
