#pragma once

#include <lagoonroute/direct/agentregistry.h>
#include <lagoonroute/direct/backlograte.h>
#include <lagoonroute/direct/routetable.h>
#include <lagoonroute/direct/upstreamevents.h>
#include <lagoonroute/placement/runtimeestimator.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Number of a client account's request within one process. */
using RequestId = std::uint64_t;

/** Answer a request. */
struct AnswerRequest
{
    RequestId request = 0;
    std::string job;
    DirectAnswer answer;

    auto operator<=>(const AnswerRequest &) const = default;
};

/** What DirectEntryCore asks for. */
using EntryAction = std::variant<AnswerRequest, SendOnLink, CloseLink, DecisionNote>;

/** Actions of one step, in order. */
using EntryActions = std::vector<EntryAction>;

/**
 * Decides for one entry about the jobs that it took: admission, order, placement, retries and the one answer.
 *
 * A task is placed again only when its last run is proved to be over: by its end, by a refusal, by the greeting of its
 * agent on a new link, or by the end of every lease that the agent could still hold.
 */
class DirectEntryCore
{
public:
    /** Identity and times. */
    struct Options
    {
        std::string node;
        std::string address; /**< Where other processes reach this entry, "ip:port". */
        AgentRegistry::Options agentRegistry;
        Duration linkSilence = std::chrono::milliseconds(900); /**< Without a beat, after which a link is closed; an agent gives up after 700. */
        Duration proofTime = std::chrono::milliseconds(1650); /**< After the last echo: the agent's 700, the lease of 800 on a slow clock, and a stop. */
        Duration forgetAgentAfter = std::chrono::seconds(60); /**< Without a link; a host that is replaced comes back under another name. */
        Duration answerRetention = std::chrono::seconds(10); /**< For which a resubmission gets the answer that was given. */
        std::size_t maxKeptAnswers = 4096;
        std::size_t maxJobs = 20'000; /**< Further submissions are refused. */
        double moveFactor = 1.6; /**< A run is taken elsewhere when it needs this many times what a fresh one would; sound upstreams differ by 1.6. */
        Duration moveCost = std::chrono::milliseconds(60); /**< To stop a run and start it elsewhere: 50 ms for the stop, and the ways. */
        std::uint32_t maxMoves = 2; /**< Of one task; more would throw away more work than they save. */
        Duration startTime = std::chrono::milliseconds(1500); /**< After the start of the process, in which it waits for agents to greet. */
        Duration settleTime = std::chrono::milliseconds(300); /**< Without a further agent that opens, after which the start is over sooner. */
        Duration routesTime = std::chrono::milliseconds(500); /**< After the start of the process, in which requests wait for the first routes; a narrow link
                                                                   and 2,000 routes take 350 ms. */
        double usefulFactor = 1.25; /**< Times the objective, by which a job must be expected to end to stay in the queue. */
        double lateFactor = 2; /**< The same while no less urgent job waits, which a late one would hold up. */

        Options withNode(std::string name, std::string ownAddress) const;
        Options withZone(const std::string &zone) const;
    };

    explicit DirectEntryCore(Options options);

    /** Routes in force; only a table with a higher version replaces the one before. Returns whether it did. */
    bool setRoutes(RouteTable routes, EntryActions &actions);

    /** Routes in force. */
    [[nodiscard]] const RouteTable &routes() const noexcept
    {
        return m_routes;
    }

    /** Until when requests wait for the first routes; nothing once there are routes, or when they have taken too long. */
    [[nodiscard]] std::optional<Instant> routesAwaitedUntil(Instant now) const;

    /** A client account hands a job in; it waits for the answer for the given time, or zero for the route's. */
    void submit(RequestId request, const RouteRule &route, const DirectJob &job, Duration callerTimeout, Instant now, EntryActions &actions);

    /** The client account of a request is gone. */
    void requestClosed(RequestId request, Instant now, EntryActions &actions);

    void openLink(LinkId link, Instant now, EntryActions &actions);
    void closeLink(LinkId link, Instant now, EntryActions &actions);
    void receive(LinkId link, const LinkMessage &message, Instant now, EntryActions &actions);

    /** The process stood still for so long that no link counts any more. */
    void stalled(Instant now, EntryActions &actions);

    /** Other entries that share the upstreams with this one. */
    void setPeers(std::size_t count);

    void elapse(Instant now, EntryActions &actions);
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of jobs of a route of which no task has started. */
    [[nodiscard]] std::size_t waiting(const std::string &route) const;

    /** Number of jobs without an answer. */
    [[nodiscard]] std::size_t openJobs() const;

    [[nodiscard]] const AgentRegistry &agentRegistry() const noexcept
    {
        return m_agentRegistry;
    }

private:
    enum class TaskPhase : std::uint8_t {
        Blocked, // an earlier step is not done
        Waiting,
        Sent, // started, or on its way
        Stopping, // as Sent, and a stop was sent
        Unproven, // its agent is out of contact
        Done,
        Dropped, // its job has its answer
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
        Instant provenAt; // while Unproven
        std::uint32_t moves = 0;
        std::optional<Instant> forecastEnd;
        Duration forecastTotal{ 0 }; // from the start of the run
        bool isStalled = false;
        Duration expected{ 0 };
        bool isMeasured = false; // `expected` comes from tasks of the same step on other upstreams
        double work = 0; // as counted in the job's while it waits
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
        std::size_t active = 0; // Sent, Stopping or Unproven
        std::size_t done = 0;
        bool hasStarted = false;
        bool isFitUnknown = false; // taken while agents were still greeting
        bool isClosed = false; // answered or given up
        double work = 0; // thousandths of a processor times microseconds, of the tasks that wait
        Instant sortKey;
    };

    using JobPointer = std::shared_ptr<Job>;

    JobPointer admit(const RouteRule &route, const DirectJob &job, Duration callerTimeout, Instant now);
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
    void closeJob(const JobPointer &job, EntryActions &actions);
    void eraseIfOver(const JobPointer &job);
    void eraseJobsThatAreOver();
    void agentLost(NodeId agent, Instant lastEcho, EntryActions &actions);
    void agentCleared(NodeId agent);
    void pump(Instant now, EntryActions &actions);
    std::vector<JobPointer> queue(Instant now);
    bool placeTasks(const JobPointer &job, Instant now);
    [[nodiscard]] static const DirectStep &nextStep(const Job &job);
    static void addDemand(std::vector<CapacityDemand> &demands, const Job &job);
    void flushStarts(EntryActions &actions);
    void measureBacklogs(const std::vector<JobPointer> &ordered, Instant now);
    [[nodiscard]] Instant usefulUntil(const Job &job, std::uint32_t leastUrgent) const;
    [[nodiscard]] bool hasTurnedOutUnfit(Job &job, Instant now) const;
    void reviewQueue(const std::vector<JobPointer> &ordered, Instant now, EntryActions &actions);
    void takeForecast(NodeId agent, const RunForecast &forecast, Instant now);
    void learnFromSiblings(Job &job, const Task &task, Instant now);
    [[nodiscard]] Duration freshTime(const Task &task) const;
    [[nodiscard]] bool shouldMove(const Job &job, const Task &task, Instant now) const;
    void move(const JobPointer &job, Task &task, Instant now, EntryActions &actions);
    void proveOver(Instant now);
    void reviewRuns(Instant now, EntryActions &actions);
    void expire(Instant now, EntryActions &actions);
    [[nodiscard]] PlacementRequest placementRequest(const Job &job, const Task &task) const;
    [[nodiscard]] bool isStarting(Instant now) const;
    [[nodiscard]] double doneWork(Instant now) const;
    [[nodiscard]] double workRate(const std::string &service, Instant now) const;
    [[nodiscard]] static DirectAnswer timeIsOver(const Job &job);
    void reviewAgents(Instant now, EntryActions &actions);
    void rememberAnswer(const std::string &job, std::optional<DirectAnswer> answer, Instant now);
    void note(EntryActions &actions, std::string event, std::string subject, std::string detail, bool isWarning = false) const;

    /** What a resubmission of a job is told. */
    struct KeptAnswer
    {
        std::optional<DirectAnswer> answer; // nothing: the job has started, and its client account left before the answer
        Instant until;
    };

    [[nodiscard]] const KeptAnswer *keptAnswer(const std::string &job, Instant now) const;

    /** Work of the jobs of one priority. */
    struct Backlog
    {
        BacklogRate rate;
        double started = 0; // since the rate was last told
        bool isWaiting = false; // after the last placement
    };

    struct PendingStart
    {
        LinkId link = 0;
        StartTasks start;
    };

    Options m_options;
    RouteTable m_routes;
    AgentRegistry m_agentRegistry;
    RunTimeEstimator m_estimator;
    std::map<std::string, JobPointer> m_jobs;
    std::map<RequestId, JobPointer> m_byRequest;
    std::unordered_map<std::string, KeptAnswer> m_answers; // by job
    std::deque<std::string> m_answered; // jobs of m_answers, the oldest first
    std::map<LinkId, Instant> m_strangers; // links that have not greeted, and when they opened
    std::vector<PendingStart> m_pendingStarts;
    std::optional<Instant> m_startedAt; // first elapse() of this process
    std::optional<Instant> m_lastOpened; // when an agent last began to take starts
    std::size_t m_peers = 0;
    bool m_needsPump = false;
    Instant m_nextReview;
    std::map<std::uint32_t, Backlog> m_backlogs; // by priority
    double m_doneWork = 0; // of ended runs, smoothed, per microsecond
    Instant m_doneAt;
};

} // namespace lagoonroute
