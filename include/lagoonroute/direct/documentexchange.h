#pragma once

#include <lagoonroute/direct/upstreamevents.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lagoonroute
{

/**
 * Decides how a process gets the newest configuration from its neighbours, and how they get it from there.
 *
 * Neighbours are told the version that is held here; the document itself, which may be large, is sent on request only.
 */
class DocumentExchange
{
public:
    /** Times of a request. */
    struct Options
    {
        Duration patience = std::chrono::milliseconds(150); /**< Before a neighbour is asked; the store mostly answers sooner, and loads no neighbour. */
        Duration answerTime = std::chrono::seconds(1); /**< Until another neighbour is asked, doubled each time; a narrow link needs 0.2 s for 0.5 MB. */

        Options withPatience(Duration time) const;
    };

    explicit DocumentExchange(Options options);

    /** Takes a document. Returns whether it is newer than the one held so far. */
    bool update(ConfigurationDocument document);

    /** Document held here, of version 0 while there is none. */
    [[nodiscard]] const ConfigurationDocument &current() const noexcept
    {
        return m_current;
    }

    /** The neighbour on the link is to hear what is held here, now and later. */
    void subscribe(LinkId link);

    /** A neighbour holds a document of this version. */
    void noticed(LinkId link, std::uint64_t version, Instant now);

    /** A neighbour asks for the document. */
    void requested(LinkId link);

    /** The link is gone. */
    void closed(LinkId link);

    /** Returns the messages that are due. */
    std::vector<SendOnLink> elapse(Instant now);

    /** Time of the next elapse() unless an event comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    [[nodiscard]] std::optional<LinkId> neighbourToAsk() const;

    Options m_options;
    ConfigurationDocument m_current;
    std::map<LinkId, std::uint64_t> m_told; // version that each neighbour has been told, or has told itself
    std::map<LinkId, std::uint64_t> m_offered; // newer versions that neighbours hold
    std::set<LinkId> m_asked; // of the neighbours in m_offered
    std::set<LinkId> m_requests; // neighbours that wait for the document
    std::optional<Instant> m_askAt;
    Duration m_pause{ 0 };
};

} // namespace lagoonroute
