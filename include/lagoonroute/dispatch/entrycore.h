#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lagoonroute
{

/**
 * State machine of an entry: sends each caller's request to the home of its shard and returns the answer.
 *
 * It has no state that must survive a restart. A request is resent when a connection breaks, the view changes, a home
 * redirects it, or no answer arrives for the resend delay. The entry itself answers "not run" only for requests that it
 * refused or never sent.
 */
class EntryCore
{
public:
    /** Creates the core of one incarnation of the entry; `seed` initialises the jitter of resends. */
    EntryCore(NodeId self, Incarnation incarnation, std::uint64_t seed = 0);

    /** Handles one event and appends the resulting actions. */
    void handle(const EntryEvent &event, Instant now, std::vector<EntryAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of requests without an answer. */
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_pending.size();
    }

    /** Whether a planned stop was requested and every request is answered. */
    [[nodiscard]] bool isDrained() const noexcept
    {
        return m_stopping && m_pending.empty();
    }

private:
    using Actions = std::vector<EntryAction>;

    enum class RequestKind : std::uint8_t {
        Submit,
        LookUp,
        Cancel,
    };

    struct PendingRequest
    {
        RequestKind kind = RequestKind::Submit;
        ShardKey shard;
        JobId job;
        std::optional<JobRequest> content; /**< Content of a submission, retained for resends. */
        std::size_t bytes = 0;
        Instant deadline;
        Instant giveUpAt;
        Instant wakeAt;
        Duration resendDelay{ 0 };
        Duration redirectDelay{ 0 };
        std::optional<Epoch> sentEpoch; /**< Epoch of the view it was last sent under; absent if it was never sent. */
        NodeId sentTo;
    };

    void submit(const CallerSubmitted &event, Instant now, Actions &actions);
    void query(RequestKind kind, std::uint64_t request, const std::string &service, const JobId &job, Instant now, Actions &actions);
    void open(std::uint64_t request, PendingRequest pending, Instant now, Actions &actions);
    void send(std::uint64_t request, PendingRequest &pending, Instant now, Actions &actions);
    void receive(const DispatchMessage &message, Instant now, Actions &actions);
    void finish(const AnswerRequest &message, Actions &actions);
    void redirect(const RedirectRequest &message, Instant now, Actions &actions);
    void changeView(const ShardView &view, Instant now, Actions &actions);
    void loseConnection(NodeId peer, Instant now);
    void handleTimers(Instant now, Actions &actions);
    void giveUp(std::uint64_t request, Actions &actions);
    void setWake(std::uint64_t request, PendingRequest &pending, Instant at);
    void erase(std::uint64_t request);
    Duration jittered(Duration delay);

    NodeId m_self;
    Incarnation m_incarnation;
    std::mt19937_64 m_random;
    bool m_stopping = false;
    std::size_t m_bytes = 0;
    std::map<std::string, ServiceRules> m_rules;
    std::map<ShardKey, ShardView> m_views;
    std::unordered_map<std::uint64_t, PendingRequest> m_pending;
    std::set<std::pair<Instant, std::uint64_t>> m_wakes;
};

} // namespace lagoonroute
