#pragma once

#include <lagoonroute/direct/agentregistry.h>
#include <lagoonroute/direct/backlograte.h>
#include <lagoonroute/direct/drainexchange.h>
#include <lagoonroute/direct/jobmemory.h>
#include <lagoonroute/direct/latenessbudget.h>
#include <lagoonroute/direct/reservationplan.h>
#include <lagoonroute/direct/retainedanswers.h>
#include <lagoonroute/direct/routetable.h>
#include <lagoonroute/direct/unconfirmedruns.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/placement/runtimeestimator.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Number of a client account's request, unique within one process. */
using RequestId = std::uint64_t;

/** Submission of a job by a client account. */
struct ReceivedSubmission
{
    RequestId request = 0;
    Instant arrived; /**< When the entry received the request, which it may have deferred since. */
    Duration callerTimeout{ 0 }; /**< Time from the arrival for which the client account waits; zero selects the route's timeout. */
};

/** Action that answers a request. */
struct AnswerRequest
{
    RequestId request = 0;
    std::string job;
    DirectAnswer answer;

    auto operator<=>(const AnswerRequest &) const = default;
};

/** Action requested by DirectEntryCore. */
using EntryAction = std::variant<AnswerRequest, SendOnLink, CloseLink, DecisionNote>;

/** Actions of one step, in order. */
using EntryActions = std::vector<EntryAction>;

/**
 * Makes the decisions of one entry about the jobs that it accepted: admission, order, placement, retries and the single
 * answer.
 *
 * A task is placed again only when its last run is confirmed to be over: by a report of its end, by a refusal, by the
 * handshake of its agent on a new link, or by a clearance of the agent that another entry passes on. The time that passes without contact confirms nothing: the
 * host of the agent may be suspended, and its runs go on afterwards.
 */
class DirectEntryCore
{
public:
    /** Identity and times. */
    struct Options
    {
        std::string node;
        std::string address; /**< Address at which other processes reach this entry, "ip:port". */
        Incarnation incarnation = 1; /**< Differs between two incarnations of the process. */
        AgentRegistry::Options agentRegistry;
        /** Time without a heartbeat after which a link is closed; an agent stops the entry's runs after 700 ms. */
        Duration linkTimeout = std::chrono::milliseconds(900);
        /** Time without a link after which an agent is removed; a replaced host returns under another name. */
        Duration agentRetention = std::chrono::seconds(60);
        RetainedAnswers::Options retainedAnswers; /**< What a resubmission gets after the end of its job. */
        /** Time for which a job that nobody waits for is kept because a run of it is not confirmed to be over. A resubmission after that is a new job. */
        Duration unconfirmedRetention = std::chrono::minutes(10);
        /** Time until other entries hear of a run that is not confirmed to be over: a stop takes 60 ms, and links that were reset are open again in 200 ms. */
        Duration unconfirmedNoticeDelay = std::chrono::milliseconds(200);
        std::size_t maxJobs = 20'000; /**< Further submissions are refused. */
        JobMemory jobMemory; /**< Submissions that exceed it are refused. */
        double moveFactor = 1.6; /**< A run is moved when its remaining time is this many times that of a new run elsewhere; healthy upstreams differ by 1.6. */
        Duration moveCost = std::chrono::milliseconds(60); /**< Time to stop a run and start it elsewhere: 50 ms for the stop, and the message delays. */
        std::uint32_t maxMoves = 2; /**< Most moves of one task; more would discard more work than they save. */
        Duration startTime = std::chrono::milliseconds(1500); /**< Time after the start of the process during which it waits for the handshakes of agents. */
        Duration settleTime = std::chrono::milliseconds(300); /**< Time without another agent beginning to accept starts, after which the startup ends early. */
        /** Time for which jobs wait for an agent after the last one was lost; links that were reset are open again within 200 ms. */
        Duration reconnectTime = std::chrono::milliseconds(500);
        /** Time for which a request waits for the first routes if its caller names no time; 2,000 routes take 350 ms over a narrow link. */
        Duration routesTimeout = std::chrono::milliseconds(500);
        double routesWaitShare = 0.75; /**< Share of its caller's time for which a request waits for the first routes; the rest is left to run the job. */
        double usefulFactor = 1.25; /**< A job that is expected to end within this many times its objective stays in the queue even if it delays others. */
        bool capacityReservations = false; /**< Whether waiting tasks reserve capacity at agents. */

        bool hasZoneDrains = false; /**< Whether no task is started in drained zones. */

        Options withNode(std::string name, std::string ownAddress) const;
        Options withIncarnation(Incarnation number) const;
        Options withZoneDrains(bool isEnabled) const;
        Options withZone(const std::string &zone) const;
        Options withMemory(std::shared_ptr<MemoryBudget> budget) const;
        /** Sets whether waiting tasks reserve capacity at agents. */
        Options withCapacityReservations(bool enabled) const;
    };

    explicit DirectEntryCore(Options options);

    /** Replaces the routes if the table has a higher version than the current one. Returns whether it did. */
    bool setRoutes(RouteTable routes, EntryActions &actions);

    /** Sets the zone drains that the store has listed, unless newer ones are known. */
    void setZoneDrains(const ZoneDrains &drains, Instant now, EntryActions &actions);

    /** Newest known zone drains. */
    [[nodiscard]] const ZoneDrains &zoneDrains() const noexcept
    {
        return m_drains.current();
    }

    /** Current routes. */
    [[nodiscard]] const RouteTable &routes() const noexcept
    {
        return m_routes;
    }

    /** Returns until when a request waits for the first routes; no value once there are routes. A caller's timeout of zero means unknown. */
    [[nodiscard]] std::optional<Instant> routesAwaitedUntil(Instant arrived, Duration callerTimeout) const;

    /** Submits a job of a client account. */
    void submit(const ReceivedSubmission &submission, const RouteRule &route, const DirectJob &job, Instant now, EntryActions &actions);

    /** Handles a request whose client account has closed its connection. */
    void requestClosed(RequestId request, Instant now, EntryActions &actions);

    void openLink(LinkId link, Instant now, EntryActions &actions);
    void closeLink(LinkId link, Instant now, EntryActions &actions);
    void receive(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions);

    /** Closes all links, because the process was paused for so long that they can no longer be relied on. */
    void processPaused(Instant now, EntryActions &actions);

    /** Sets the number of other entries that share the upstreams with this one. */
    void setPeers(std::size_t count);

    void handleTimers(Instant now, EntryActions &actions);
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of jobs of a route of which no task has started. */
    [[nodiscard]] std::size_t waiting(const std::string &route) const;

    /** Number of jobs without an answer. */
    [[nodiscard]] std::size_t openJobs() const;

    /** Number of runs whose agents are out of contact. */
    [[nodiscard]] std::size_t unconfirmedRuns() const;

    /** Number of jobs of which another entry cannot confirm that their runs are over. */
    [[nodiscard]] std::size_t announcedJobs() const noexcept
    {
        return m_unconfirmedRuns.announcedJobs().size();
    }

    [[nodiscard]] const AgentRegistry &agentRegistry() const noexcept
    {
        return m_agentRegistry;
    }

    /** Totals of the capacity reservations of this entry. */
    [[nodiscard]] const ReservationPlan::Totals &reservationTotals() const noexcept
    {
        return m_reservationPlan.totals();
    }

private:
    enum class TaskPhase : std::uint8_t {
        Blocked, // an earlier step is not done
        Waiting,
        Sent, // a start was sent; the task may be running
        Stopping, // as Sent, and a stop was sent
        Unconfirmed, // its agent is out of contact
        Done,
        Dropped, // its job is already answered
    };

    struct Task
    {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        std::uint32_t run = 0;
        std::uint32_t failures = 0;
        TaskPhase phase = TaskPhase::Blocked;
        NodeId agent;
        LinkId link = 0;
        Instant sentAt;
        std::uint32_t moves = 0;
        std::optional<Instant> forecastEnd;
        Duration forecastTotal{ 0 }; // from the start of the run
        bool isStalled = false;
        Duration expected{ 0 };
        bool isMeasured = false; // `expected` comes from tasks of the same step on other upstreams
        double work = 0; // share of Job::work while the task waits
        std::vector<NodeId> excluded;
        std::string checkpoint;
    };

    struct Job
    {
        DirectJob job;
        RouteRule route;
        std::vector<RequestId> requests;
        Instant arrived;
        Instant objective;
        Instant deadline;
        Duration chain{ 0 }; // longest chain of expected run times
        std::vector<Task> tasks;
        std::vector<std::size_t> firstOfStep;
        std::size_t waiting = 0;
        std::size_t active = 0; // Sent, Stopping or Unconfirmed
        std::size_t done = 0;
        bool hasStarted = false;
        bool isFitUnknown = false; // admitted during the startup, before all agents were known
        bool isClosed = false; // answered or given up
        Instant closedAt; // while isClosed
        std::optional<Instant> unconfirmedSince; // while a run may go on out of reach, or although the job is closed
        std::uint64_t fitRevision = 0; // AgentRegistry::fitRevision() when the job was last compared with the zone drains
        double work = 0; // of the waiting tasks, in thousandths of a processor times microseconds
        Instant sortKey;
        MemoryReservation memory;
    };

    using JobPointer = std::shared_ptr<Job>;
    using ServiceRates = std::map<std::string, double>; // work per microsecond; none during the startup, when no rate is known

    JobPointer admit(const ReceivedSubmission &submission, const RouteRule &route, const DirectJob &job);
    [[nodiscard]] bool couldEverRun(const RouteRule &route, const DirectJob &job) const;
    [[nodiscard]] std::optional<DirectAnswer> refusalOf(const RouteRule &route, const DirectJob &job, Instant now) const;
    Task *findTask(const DirectTaskId &id, JobPointer &job);
    void taskEnded(NodeId agent, const TaskEnded &end, Instant now, EntryActions &actions);
    void startRefused(NodeId agent, const StartRefused &refusal, Instant now, EntryActions &actions);
    [[nodiscard]] static bool isActive(const Task &task);
    Task *findRun(NodeId agent, const DirectTaskId &id, std::uint32_t run, JobPointer &job);
    void requeue(Job &job, Task &task);
    void runIsOver(Job &job, Task &task);
    void completeTask(const JobPointer &job, Task &task, Instant now, EntryActions &actions);
    void unblock(Job &job);
    void answer(const JobPointer &job, const DirectAnswer &answer, Instant now, EntryActions &actions);
    void closeJob(const JobPointer &job, Instant now, EntryActions &actions);
    void eraseIfFinished(const JobPointer &job);
    void eraseFinishedJobs();
    void agentLost(NodeId agent, Instant now, EntryActions &actions);
    void agentCleared(NodeId agent);
    void placeWaitingJobs(Instant now, EntryActions &actions);
    std::vector<JobPointer> queue(Instant now);
    bool placeTasks(const JobPointer &job, Instant now);
    [[nodiscard]] static const Task &nextTask(const Job &job);
    [[nodiscard]] static const DirectStep &nextStep(const Job &job);
    void addDemand(std::vector<CapacityDemand> &demands, const Job &job) const;
    [[nodiscard]] bool shouldReserve(const Job &job, Instant now) const;
    void promoteReserved(std::vector<JobPointer> &ordered, Instant now) const;
    ReservationRequests reviewReservations(const JobPointer &waiting, Instant now, EntryActions &actions);
    void flushStarts(EntryActions &actions);
    void measureBacklogs(const std::vector<JobPointer> &ordered, Instant now);
    [[nodiscard]] Instant usefulUntil(const Job &job) const;
    [[nodiscard]] bool isWithoutAgents(Instant now) const;
    void reviewOpenAgents(Instant now);
    void refuse(const JobPointer &job, const DirectAnswer &refusal, const std::string &detail, Instant now, EntryActions &actions);
    [[nodiscard]] ServiceRates serviceRates(const std::vector<JobPointer> &ordered, Instant now) const;
    [[nodiscard]] Duration expectedWait(const Job &job, double ahead, const ServiceRates &rates) const;
    [[nodiscard]] LatenessBudget latenessBudget(const std::vector<JobPointer> &ordered, const ServiceRates &rates, Instant now) const;
    [[nodiscard]] bool runsOnlyWhereDrained(const RouteRule &route, const DirectJob &job) const;
    [[nodiscard]] bool isHeldByDrain(Job &job, Instant now) const;
    [[nodiscard]] bool areDrainsAwaited(Instant now) const;
    void exchangeDrains(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions);
    void applyDrains(std::vector<DecisionNote> changes, Instant now, EntryActions &actions);
    [[nodiscard]] bool isKnownUnfit(Job &job, Instant now) const;
    void reviewQueue(const std::vector<JobPointer> &ordered, Instant now, EntryActions &actions);
    void takeForecast(NodeId agent, const RunForecast &forecast, Instant now);
    void updateExpectedTimes(Job &job, const Task &task, Instant now);
    [[nodiscard]] Duration restartTime(const Task &task) const;
    [[nodiscard]] bool shouldMove(const Job &job, const Task &task, Instant now) const;
    void move(const JobPointer &job, Task &task, Instant now, EntryActions &actions);
    /** Announces to other entries the runs that have not been confirmed to be over for some time. */
    void reviewUnconfirmedRuns(Instant now, EntryActions &actions);
    void exchangeUnconfirmedRuns(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions);
    void sendUnconfirmedRuns(EntryActions &actions);
    /** Discards the jobs that have been closed for so long that nobody asks for them, although a run is not confirmed to be over. */
    void discardUnconfirmedJobs(Instant now, EntryActions &actions);
    void reviewRuns(Instant now, EntryActions &actions);
    void expire(Instant now, EntryActions &actions);
    [[nodiscard]] PlacementRequest placementRequest(const Job &job, const Task &task) const;
    [[nodiscard]] bool isStarting(Instant now) const;
    [[nodiscard]] double doneWork(Instant now) const;
    [[nodiscard]] double workRate(const std::string &service, Instant now) const;
    [[nodiscard]] static DirectAnswer deadlineAnswer(const Job &job);
    void reviewAgents(Instant now, EntryActions &actions);
    void note(EntryActions &actions, std::string event, std::string subject, std::string detail, bool isWarning = false) const;

    /** Backlog of the jobs of one priority. */
    struct Backlog
    {
        BacklogRate rate;
        double started = 0; // work started since the last observation of the rate
        bool isWaiting = false; // whether jobs were left waiting after the last placement
    };

    /** Loss of an agent. */
    struct Loss
    {
        std::string agent;
        Instant at;
    };

    struct PendingStart
    {
        LinkId link = 0;
        StartTasks start;
    };

    Options m_options;
    RouteTable m_routes;
    AgentRegistry m_agentRegistry;
    DrainExchange m_drains;
    UnconfirmedRunsExchange m_unconfirmedRuns;
    std::map<NodeId, Loss> m_lostAgents; // agents with runs of this entry that are unconfirmed
    RunTimeEstimator m_estimator;
    std::map<std::string, JobPointer> m_jobs;
    std::map<RequestId, JobPointer> m_byRequest;
    RetainedAnswers m_answers;
    std::map<LinkId, Instant> m_unidentifiedLinks; // links without a handshake, and when they were opened
    std::vector<PendingStart> m_pendingStarts;
    std::optional<Instant> m_startedAt; // first handleTimers() of this process
    std::optional<Instant> m_lastOpened; // when an agent last began to accept starts
    std::optional<Instant> m_withoutAgentsSince; // no value while an agent accepts starts, and before one has
    std::size_t m_peers = 0;
    ReservationPlan m_reservationPlan{ ReservationPlan::Options() };
    Instant m_nextReservationNote; // one line a second about reservations at most
    bool m_needsPlacement = false;
    Instant m_nextReview;
    std::map<std::uint32_t, Backlog> m_backlogs; // by priority
    double m_doneWork = 0; // work of ended runs per microsecond, smoothed, as of m_doneAt
    Instant m_doneAt;
};

} // namespace lagoonroute
