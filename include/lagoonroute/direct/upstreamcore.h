#pragma once

#include <lagoonroute/direct/capacityannouncer.h>
#include <lagoonroute/direct/documentexchange.h>
#include <lagoonroute/direct/runprogress.h>
#include <lagoonroute/direct/upstreamevents.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lagoonroute
{

/**
 * Decides for the agent beside one upstream: which starts fit, which runs go on, and when a run is proved to be over.
 *
 * Every run belongs to the link on which its start came, and ends with it. The upstream is told a lease end with each
 * order, so that what the agent no longer watches ends by itself.
 */
class UpstreamCore
{
public:
    /** Identity and times. */
    struct Options
    {
        std::string node;
        std::string zone;
        Incarnation incarnation = 1;
        std::uint64_t firstToken = 1; /**< Fencing token to begin with: the time of day, so that a later life mostly begins above an earlier one. */
        Duration lease = std::chrono::milliseconds(800); /**< Of everything that runs; below the upstream's own bound of 1 s. */
        Duration linkSilence = std::chrono::milliseconds(700); /**< Without an echo, after which an entry's runs are stopped. */
        Duration beatInterval = std::chrono::milliseconds(200); /**< A link survives two lost beats. */
        Duration idleQueryWait = std::chrono::milliseconds(1000); /**< Of a query that waits for an end, while nothing runs. */
        Duration busyQueryWait = std::chrono::milliseconds(50); /**< The same while something runs: a lost answer hides ends for no longer than that. */
        Duration orderTimeout = std::chrono::milliseconds(20); /**< For an answer on the same host, where a round trip takes less than one. */
        Duration offerLifetime = std::chrono::milliseconds(5000); /**< Of a report; three reports may be lost. */

        /** For the answer to a query, with the time that it waits. */
        [[nodiscard]] Duration statusQueryTimeout(const OrderStatusQuery &query) const
        {
            return query.wait + orderTimeout;
        }

        Options withNode(std::string name, std::string availabilityZone, Incarnation life) const;
        Options withFirstToken(std::uint64_t token) const;
        Options withLease(Duration term) const;
        Options withOfferLifetime(Duration time) const;
    };

    explicit UpstreamCore(Options options);

    /** The upstream reported itself. Reports of an earlier life, or older than the newest, change nothing. */
    void handle(const UpstreamReport &report, Instant now, UpstreamActions &actions);
    /** The upstream said that it has left: nothing is started there until it reports again. */
    void handle(const UpstreamLeft &left, Instant now, UpstreamActions &actions);
    void handle(const StartAnswered &answer, Instant now, UpstreamActions &actions);
    void handle(const StopAnswered &answer, Instant now, UpstreamActions &actions);
    void handle(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);

    /**
     * A report that an earlier life of the agent has kept. It holds if the upstream's own list shows the same life, so that
     * work goes on before the upstream reports again.
     */
    void recall(const UpstreamReport &kept, Instant now, UpstreamActions &actions);

    /** A link to an entry is open. */
    void openLink(LinkId link, Instant now, UpstreamActions &actions);

    /** A link is closed: what was started on it is stopped. */
    void closeLink(LinkId link, Instant now, UpstreamActions &actions);

    /** A message came on a link. */
    void receive(LinkId link, const LinkMessage &message, Instant now, UpstreamActions &actions);

    /** The process stood still for so long that nothing on its links counts any more. */
    void stalled(Instant now, UpstreamActions &actions);

    /** Begins the planned stop: no start is taken any more, what runs goes on. */
    void beginStop(Instant now, UpstreamActions &actions);

    /** Does what time asks for. */
    void elapse(Instant now, UpstreamActions &actions);

    /** Time of the next elapse() unless an event comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of runs that are not proved to be over. */
    [[nodiscard]] std::size_t runs() const noexcept
    {
        return m_runs.size();
    }

    /** Whether starts are taken. */
    [[nodiscard]] bool isOpen() const;

    /** Room that no run takes. */
    [[nodiscard]] Resources freeCapacity() const;

    /** Number of links that have said who they are. */
    [[nodiscard]] std::size_t entries() const;

private:
    enum class Phase : std::uint8_t {
        Unknown, // no upstream is known, or it is gone
        Fencing, // raising the token until the upstream takes it
        Clearing, // stopping what an earlier life of the agent has left
        Serving,
    };

    enum class RunPhase : std::uint8_t {
        Starting,
        Doubtful, // the start had no answer
        Running,
        Stopping, // a stop is under way; it may still be running
        Confirmed, // the upstream has taken the stop; its end, or a list without it, is awaited
    };

    struct Run
    {
        LinkId link = 0;
        std::string entry;
        std::uint32_t run = 0;
        RunPhase phase = RunPhase::Starting;
        Resources need;
        bool neverConfirmed = true; // the upstream has not said that it started
        bool stopRequested = false;
        std::uint64_t phaseQuery = 0; // queries with a higher number were sent after the phase began
        Instant changed; // when the phase began
        Instant retryStopAt;
        RunProgress progress;
    };

    struct Link
    {
        std::string entry; // empty until it has said who it is
        std::string address;
        bool greeted = false;
        std::uint64_t startsHandled = 0;
        Instant contactUntil; // starts are taken until then
    };

    struct OverRun
    {
        DirectTaskId task;
        std::uint32_t run = 0;
        Instant at;
    };

    void startRun(LinkId linkId, Link &link, const StartTasks &order, const TaskStart &task, Instant now, UpstreamActions &actions);
    std::optional<StartRefusal> refusalOf(const DirectTaskId &task, const Resources &need, const Link &link, Instant now) const;
    void refuse(LinkId link, const DirectTaskId &task, std::uint32_t run, StartRefusal reason, UpstreamActions &actions);
    void requestStop(const DirectTaskId &task, Run &run, Instant now, UpstreamActions &actions);
    void finish(std::map<DirectTaskId, Run>::iterator run, RunEnd end, const std::string &checkpoint, UpstreamActions &actions);
    void finishUnstarted(std::map<DirectTaskId, Run>::iterator run, StartRefusal reason, UpstreamActions &actions);
    void loseAllRuns(UpstreamActions &actions);
    void loseUpstream(const std::string &reason, UpstreamActions &actions);
    void beginFencing(Instant now, UpstreamActions &actions);
    void takeEnds(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);
    void takeRunning(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);
    void queryStatus(Instant now, Duration wait, UpstreamActions &actions);
    [[nodiscard]] bool wasOverLately(const DirectTaskId &task, std::uint32_t run, Instant now) const;
    void extendLease(Instant now);
    void keepLease(Instant now, UpstreamActions &actions);
    void beat(Instant now, UpstreamActions &actions);
    void greet(Instant now, UpstreamActions &actions);
    void sayOffer(UpstreamActions &actions);
    void sayRoom(Instant now, UpstreamActions &actions);
    void spreadDocument(Instant now, UpstreamActions &actions);
    void dropLink(LinkId link, const std::string &reason, Instant now, UpstreamActions &actions);
    void recheckRuns(Instant now, UpstreamActions &actions);
    void adopt(const UpstreamReport &report, Instant now, UpstreamActions &actions);
    void keep(const UpstreamReport &report, UpstreamActions &actions);
    void meetLife(std::int64_t incarnationStart, Instant now, UpstreamActions &actions);
    void useRecalled(Instant now, UpstreamActions &actions);
    void querySoon(Instant now, Duration delay);
    [[nodiscard]] bool queriesWait() const;
    void leaveIdleQuery(Instant now);
    [[nodiscard]] bool mayGreet(const Link &link, LinkId linkId, Instant now) const;
    [[nodiscard]] std::optional<std::int64_t> leaseEndAt(Instant now) const;
    [[nodiscard]] OrderHeader header() const;
    [[nodiscard]] AgentOffer offer() const;
    void note(UpstreamActions &actions, std::string event, std::string subject, std::string detail, bool isWarning = false) const;

    Options m_options;
    Phase m_phase = Phase::Unknown;
    bool m_isStopping = false;
    UpstreamReport m_report;
    bool m_hasReport = false;
    Instant m_reportedAt;
    std::uint64_t m_token = 1;
    std::uint64_t m_tokenStep = 0; // by which the token was last raised
    std::optional<std::int64_t> m_clock; // of the upstream, at m_clockAt
    Instant m_clockAt;
    std::int64_t m_incarnationStart = 0; // life that the lists come from
    std::uint64_t m_lastSeenEnd = 0;
    std::uint64_t m_lastQuery = 0;
    std::uint64_t m_waitingQuery = 0; // the query under way that waits, or 0
    bool m_isIdleQuery = false; // the query under way that waits was sent while nothing ran
    std::uint64_t m_renewingQuery = 0; // the query under way that renews at once, or 0
    Instant m_nextQueryAt;
    std::optional<Instant> m_extraQueryAt; // a query that does not wait is due then
    Instant m_leaseUntil; // latest end of the upstream's lease, by this process's clock
    std::uint32_t m_failedQueries = 0; // in a row
    std::optional<Instant> m_startedAt; // first elapse() of this process
    std::optional<UpstreamReport> m_recalled; // by an earlier life of the agent, not yet seen in a list
    UpstreamReport m_kept; // as last given out to be kept
    std::optional<UpstreamReport> m_otherLife; // reported, and not yet seen in a list
    std::uint32_t m_strays = 0; // runs in the last list that nobody here started
    std::map<DirectTaskId, Run> m_runs;
    std::deque<OverRun> m_lately; // runs that ended lately: a list made before may still name them
    std::map<LinkId, Link> m_links;
    Instant m_beatAt; // when beats were last due
    Resources m_used;
    AgentOffer m_saidOffer;
    CapacityAnnouncer m_capacityAnnouncer{ CapacityAnnouncer::Options() };
    DocumentExchange m_documents; // nothing is read from the store here, so neighbours are asked at once
};

} // namespace lagoonroute
