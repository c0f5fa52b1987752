#pragma once

#include <lagoonroute/direct/upstreamevents.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonroute
{

/**
 * Decides when a process requests the newest configuration from its neighbours, and when it sends its own to them.
 *
 * Neighbours are notified of the version that this process has; the document itself, which may be large, is sent only on
 * request.
 */
class DocumentExchange
{
public:
    /** Times of a request. */
    struct Options
    {
        /** Delay before a neighbour is asked; the store mostly answers sooner, which puts no load on a neighbour. */
        Duration requestDelay = std::chrono::milliseconds(150);
        /** Time until another neighbour is asked, doubled each time; a narrow link needs 0.2 s for 0.5 MB. */
        Duration answerTimeout = std::chrono::seconds(1);

        Options withRequestDelay(Duration time) const;
    };

    explicit DocumentExchange(Options options);

    /** Replaces the document if the given one is newer. Returns whether it is. */
    bool update(ConfigurationDocument document);

    /** Current document, of version 0 while there is none. */
    [[nodiscard]] const ConfigurationDocument &current() const noexcept
    {
        return m_current;
    }

    /** Notifies the neighbour on the link of the current version and of every later one. */
    void subscribe(LinkId link);

    /** Records that a neighbour has a document of this version. */
    void noticeReceived(LinkId link, std::uint64_t version, Instant now);

    /** Records that a neighbour requests the document. */
    void requestReceived(LinkId link);

    /** Discards the state of a closed link. */
    void linkClosed(LinkId link);

    /** Returns the messages that are due. */
    std::vector<SendOnLink> handleTimers(Instant now);

    /** Returns the time at which handleTimers() must be called next, unless an event comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    [[nodiscard]] std::optional<LinkId> neighbourToAsk() const;

    Options m_options;
    ConfigurationDocument m_current;
    std::map<LinkId, std::uint64_t> m_announcedVersions; // newest version that each neighbour was notified of, or has announced itself
    std::map<LinkId, std::uint64_t> m_offered; // newer versions that neighbours have
    std::set<LinkId> m_asked; // neighbours in m_offered that were sent a request
    std::set<LinkId> m_requests; // neighbours that wait for the document
    std::optional<Instant> m_nextRequestAt;
    Duration m_answerTimeout{ 0 };
};

} // namespace lagoonroute
