#pragma once

#include <lagoonroute/dispatch/events.h>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lagoonroute
{

/**
 * Decides for an entry: sends each caller's request to the home of its shard and hands the answer back.
 *
 * It holds nothing that must outlive it. Answers that nobody waits for are dropped.
 */
class EntryCore
{
public:
    /** Creates the core of the entry with the given identity. */
    EntryCore(NodeId self, Incarnation incarnation);

    /** Handles one event and appends the actions it calls for. */
    void handle(const EntryEvent &event, Instant now, std::vector<EntryAction> &actions);

    /** Returns when handle(TimeElapsed) is due next, or nothing. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Number of requests without an answer. */
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_pending.size();
    }

private:
    struct PendingRequest
    {
        ShardKey shard;
        JobId job;
        std::optional<JobRequest> content; /**< Of a submission; kept so that it can be sent to a new home. */
        bool cancel = false;
        Instant deadline;
    };

    void submit(const CallerSubmitted &event, Instant now, std::vector<EntryAction> &actions);
    void send(std::uint64_t request, const PendingRequest &pending, Instant now, std::vector<EntryAction> &actions);
    void receive(const DispatchMessage &message, std::vector<EntryAction> &actions);
    void changeView(const ShardView &view, Instant now, std::vector<EntryAction> &actions);

    NodeId m_self;
    Incarnation m_incarnation;
    bool m_stopping = false;
    std::map<std::string, ServiceRules> m_rules;
    std::map<ShardKey, ShardView> m_views;
    std::unordered_map<std::uint64_t, PendingRequest> m_pending;
};

} // namespace lagoonroute
