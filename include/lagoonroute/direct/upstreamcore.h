#pragma once

#include <lagoonroute/direct/capacityannouncer.h>
#include <lagoonroute/direct/capacityreservation.h>
#include <lagoonroute/direct/documentexchange.h>
#include <lagoonroute/direct/drainexchange.h>
#include <lagoonroute/direct/hostclock.h>
#include <lagoonroute/direct/leaselimit.h>
#include <lagoonroute/direct/lossevidence.h>
#include <lagoonroute/direct/runprogress.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/direct/upstreamlease.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lagoonroute
{

/**
 * Makes the decisions of the agent beside one upstream: which starts fit, which runs continue, and when a run is
 * confirmed to be over.
 *
 * Every run belongs to the link on which its start arrived, and is stopped when that link closes. Start and
 * renewal orders carry a lease end, so that the upstream stops a run on its own when the agent no longer renews the lease.
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
        std::uint64_t firstToken = 1; /**< First fencing token: the time of day, so that a restarted agent mostly begins above the token of its predecessor. */
        Duration lease = std::chrono::milliseconds(800); /**< Lease of all runs; below the upstream's own limit. */
        Duration longestLease = defaultLongestLease; /**< The upstream's own limit. */
        Duration linkTimeout = agentLinkTimeout; /**< Time without an echo after which the runs of an entry are stopped. */
        Duration heartbeatInterval = std::chrono::milliseconds(200); /**< Interval of heartbeats; a link survives two lost ones. */
        Duration idleQueryWait = std::chrono::milliseconds(1000); /**< Time that a long-polling status query waits for the end of a run while nothing runs. */
        /** The same while something runs: a lost answer delays the report of ended runs by at most this long. */
        Duration busyQueryWait = std::chrono::milliseconds(50);
        Duration orderTimeout = upstreamOrderTimeout;
        Duration offerLifetime = std::chrono::milliseconds(5000); /**< Time for which a report is valid; three reports in a row may be lost. */

        /** Returns the timeout of a status query: its own waiting time and the time for an answer. */
        [[nodiscard]] Duration statusQueryTimeout(const OrderStatusQuery &query) const
        {
            return query.wait + orderTimeout;
        }

        bool hasZoneDrains = false; /**< Whether starts are refused while the zone is drained. */

        Options withNode(std::string name, std::string availabilityZone, Incarnation processIncarnation) const;
        Options withFirstToken(std::uint64_t token) const;
        Options withLease(Duration term) const;
        /** Sets the upstream's own limit, and shortens the lease where it exceeds four fifths of the limit. */
        Options withLongestLease(Duration limit) const;
        Options withOfferLifetime(Duration time) const;
        Options withZoneDrains(bool isEnabled) const;
    };

    explicit UpstreamCore(Options options);

    /** Handles a report of the upstream. Reports of an earlier incarnation, or older than the newest one, change nothing. */
    void handle(const UpstreamReport &report, Instant now, UpstreamActions &actions);
    /** Handles the notice that the upstream has left: nothing is started there until it reports again. */
    void handle(const UpstreamLeft &left, Instant now, UpstreamActions &actions);
    void handle(const StartAnswered &answer, Instant now, UpstreamActions &actions);
    void handle(const StopAnswered &answer, Instant now, UpstreamActions &actions);
    void handle(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);

    /**
     * Restores a report that an earlier incarnation of the agent persisted. It is used if the upstream's own list shows the
     * same incarnation, so that starts are accepted again before the upstream's next report.
     */
    void restoreReport(const UpstreamReport &kept, Instant now, UpstreamActions &actions);

    /** Handles a newly opened link to an entry. */
    void openLink(LinkId link, Instant now, UpstreamActions &actions);

    /** Handles a closed link: every run that was started on it is stopped. */
    void closeLink(LinkId link, Instant now, UpstreamActions &actions);

    /** Handles a message that arrived on a link. */
    void receive(LinkId link, const LinkMessage &message, Instant now, UpstreamActions &actions);

    /** Closes all links, because the process was paused for so long that they can no longer be relied on. */
    void processPaused(Instant now, UpstreamActions &actions);

    /**
     * Records that the host was suspended for the given time, in which the clock of its upstream stood still as well. Call it before any
     * other event that follows.
     */
    void hostSuspended(Duration length);

    /** Begins the planned stop: no further start is accepted, current runs continue. */
    void beginStop(Instant now, UpstreamActions &actions);

    /** Performs the actions that are due at the given time. */
    void handleTimers(Instant now, UpstreamActions &actions);

    /** Returns the time at which handleTimers() must be called next, unless an event comes first. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of runs that are not confirmed to be over. */
    [[nodiscard]] std::size_t runs() const noexcept
    {
        return m_runs.size();
    }

    /** Returns whether starts are accepted. */
    [[nodiscard]] bool isOpen() const;

    /** Capacity that no run occupies. */
    [[nodiscard]] Resources freeCapacity() const;

    /** Newest zone drains that a neighbour has sent. */
    [[nodiscard]] const ZoneDrains &zoneDrains() const noexcept
    {
        return m_drains.current();
    }

    /** Number of links on which the handshake is complete. */
    [[nodiscard]] std::size_t entries() const;

    /** Number of runs that were reported as lost on the given evidence since the process started. */
    [[nodiscard]] std::uint64_t lostRuns(LossEvidence evidence) const noexcept
    {
        return m_lostRuns[static_cast<std::size_t>(evidence)];
    }

    /** Totals of the capacity reservations at this agent. */
    [[nodiscard]] const CapacityReservation::Totals &reservationTotals() const noexcept
    {
        return m_reservation.totals();
    }

private:
    enum class Phase : std::uint8_t {
        Fencing, // raising the fencing token until the upstream accepts it
        Clearing, // stopping the runs that an earlier incarnation of the agent left
        Serving,
    };

    enum class RunPhase : std::uint8_t {
        Starting,
        StartUnanswered, // the start order had no answer
        Running,
        Stopping, // a stop order is under way; the run may still be running
        StopAccepted, // the upstream accepted the stop; the end of the run, or a list without it, is awaited
    };

    struct Run
    {
        LinkId link = 0;
        std::string entry;
        std::uint32_t run = 0;
        RunPhase phase = RunPhase::Starting;
        Resources need;
        bool startUnconfirmed = true; // the upstream has not confirmed the start
        bool stopRequested = false;
        std::uint64_t phaseQuery = 0; // queries with a higher number were sent after the phase began
        std::int64_t incarnation = 0; // start of the upstream incarnation whose list last contained the run, or 0
        Instant phaseBeganAt;
        Instant retryStopAt;
        RunProgress progress;
        std::optional<Instant> declaredEnd; // from the expected run time that the start carried
    };

    struct Link
    {
        std::string entry; // empty until the entry's hello has arrived
        std::string address;
        bool helloSent = false;
        std::uint64_t startsHandled = 0;
        Instant contactUntil; // starts are accepted until then
        std::map<std::string, std::int64_t> clearances; // requested by this entry on behalf of others: loss by entry
    };

    struct EndedRun
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
    /** Reports a run as lost, with a log entry that names the evidence. */
    void loseRun(std::map<DirectTaskId, Run>::iterator run, LossEvidence evidence, UpstreamActions &actions);
    void connectionRefused(Instant now, UpstreamActions &actions);
    /** Returns whether so many status queries in a row had no answer that the upstream counts as unresponsive. */
    [[nodiscard]] bool isUnresponsive() const;
    void beginFencing(Instant now, UpstreamActions &actions);
    void enterPhase(Phase phase);
    /** Enters the next phase if the list that was requested in the present one allows it. */
    void advancePhase(Instant now, UpstreamActions &actions);
    void processListedEnds(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);
    void processListedRuns(const StatusQueryAnswered &answer, Instant now, UpstreamActions &actions);
    void queryStatus(Instant now, Duration wait, UpstreamActions &actions);
    [[nodiscard]] bool hasEndedRecently(const DirectTaskId &task, std::uint32_t run, Instant now) const;
    /** Returns when every lease that the upstream can hold for the run has ended, by m_hostClock. */
    [[nodiscard]] Instant leaseEndOf(const Run &run) const;
    /** Sends the status query that is due, which renews the lease. */
    void renewLease(Instant now, UpstreamActions &actions);
    /** Records that an order with the current lease end is sent now. */
    void leaseRenewed(Instant now);
    /** Returns when the lease is renewed at the latest. Time that the upstream's clock may not have counted is no reason to wait. */
    [[nodiscard]] Instant nextRenewal() const;
    /** Returns whether a run is left of an entry that is out of contact. */
    [[nodiscard]] bool hasOrphans(Instant now) const;
    [[nodiscard]] bool isOrphan(const Run &run, Instant now) const;
    void sendHeartbeats(Instant now, UpstreamActions &actions);
    void sendHellos(Instant now, UpstreamActions &actions);
    void announceOffer(UpstreamActions &actions);
    void announceFreeCapacity(Instant now, UpstreamActions &actions);
    [[nodiscard]] std::vector<ExpectedRunEnd> expectedRunEnds(Instant now) const;
    const std::optional<CapacityHold> &reviewReservation(Instant now, UpstreamActions &actions);
    void exchangeDocuments(Instant now, UpstreamActions &actions);
    void exchangeDrains(LinkId link, const LinkMessage &message, UpstreamActions &actions);
    void dropLink(LinkId link, const std::string &reason, Instant now, UpstreamActions &actions);
    void recheckRuns(Instant now, UpstreamActions &actions);
    void adopt(const UpstreamReport &report, Instant now, UpstreamActions &actions);
    void persistReport(const UpstreamReport &report, UpstreamActions &actions);
    void changeIncarnation(std::int64_t incarnationStart, Instant now, UpstreamActions &actions);
    void applyRestoredReport(Instant now, UpstreamActions &actions);
    void scheduleQuery(Instant now, Duration delay);
    [[nodiscard]] bool usesLongPolling() const;
    void replaceIdleQuery(Instant now);
    /** Records that the upstream may have restarted unnoticed, until a later query is answered. */
    void doubtIncarnation();
    /** Returns whether every lease has ended that an earlier incarnation of the agent may have been granted. */
    [[nodiscard]] bool haveEarlierLeasesEnded(Instant now) const;
    /** Returns whether no run of an entry is left, but for those on the given link. */
    [[nodiscard]] bool isCleared(const std::string &entry, LinkId except, Instant now) const;
    /** Answers the clearance requests for entries without a link and without a run. */
    void sendClearances(Instant now, UpstreamActions &actions);
    [[nodiscard]] bool canSendHello(const Link &link, LinkId linkId, Instant now) const;
    [[nodiscard]] OrderHeader header() const;
    [[nodiscard]] AgentOffer offer() const;
    void note(UpstreamActions &actions, std::string event, std::string subject, std::string detail, bool isWarning = false) const;

    Options m_options;
    Phase m_phase = Phase::Fencing;
    std::uint64_t m_phaseQuery = 0; // queries with a higher number were sent in this phase
    bool m_isStopping = false;
    UpstreamReport m_report;
    bool m_hasReport = false;
    Instant m_reportedAt;
    std::uint64_t m_token = 1;
    std::uint64_t m_tokenStep = 0; // last increment of the token
    HostClock m_hostClock;
    UpstreamLease m_lease; // by m_hostClock
    Instant m_leaseRenewedAt;
    std::int64_t m_incarnationStart = 0; // upstream incarnation that the lists come from
    std::uint64_t m_lastSeenEnd = 0;
    std::uint64_t m_lastQuery = 0;
    std::optional<std::uint64_t> m_doubtedQuery; // the upstream may have restarted unnoticed since; an answer to a later query settles it
    std::uint64_t m_waitingQuery = 0; // pending query that long-polls, or 0
    bool m_isIdleQuery = false; // the pending long-polling query was sent while nothing ran
    std::uint64_t m_renewingQuery = 0; // pending query that is answered at once, or 0
    Instant m_nextQueryAt;
    std::optional<Instant> m_extraQueryAt; // when a query that is answered at once is due
    std::uint32_t m_failedQueries = 0; // in a row
    std::optional<Instant> m_startedAt; // first handleTimers() of this process, by m_hostClock
    std::optional<UpstreamReport> m_restoredReport; // persisted by an earlier agent incarnation, not yet confirmed by a list
    UpstreamReport m_persistedReport; // last report passed on to be persisted
    std::optional<UpstreamReport> m_otherIncarnation; // report of another upstream incarnation, not yet confirmed by a list
    std::uint32_t m_unexpectedRuns = 0; // runs in the last list that this agent did not start
    std::array<std::uint64_t, lossEvidenceCount> m_lostRuns{};
    std::map<DirectTaskId, Run> m_runs;
    std::deque<EndedRun> m_recentlyEnded; // runs that ended recently: a list made before may still contain them
    std::map<LinkId, Link> m_links;
    Instant m_lastHeartbeatAt; // when heartbeats were last due
    Resources m_used;
    AgentOffer m_announcedOffer;
    CapacityAnnouncer m_capacityAnnouncer{ CapacityAnnouncer::Options() };
    CapacityReservation m_reservation{ CapacityReservation::Options() };
    Instant m_nextReservationNote; // one line a second about expired holds at most
    DrainExchange m_drains;
    DocumentExchange m_documents; // the agent reads no configuration from the store, so neighbours are asked without delay
};

} // namespace lagoonroute
