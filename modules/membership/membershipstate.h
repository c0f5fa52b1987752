#pragma once

#include "membertable.h"
#include "stateexchange.h"
#include "updatequeue.h"

#include <lagoonroute/membership/membershipcore.h>

#include <functional>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** State of MembershipCore: applies updates, reports changes, and declares suspects dead when their timeout ends. */
class MembershipState
{
public:
    MembershipState(const MembershipCore::Options &options, std::vector<MembershipAction> &actions);

    /**
     * Applies an update if it is newer, queues it to be spread, and reports what changed.
     *
     * A new member from a StateReply (`isAnswer`) is not queued. A view that this process read itself (`isLocal`) is not
     * reported.
     */
    void apply(const Member &update, bool isAnswer, Instant now);
    void apply(const MemberStatusNotice &update, Instant now);
    void apply(const ShardView &update, bool isLocal);

    /** Stores the configuration revision that a member sent. Ignored for other incarnations and unless it is higher. */
    void updateRevision(NodeId node, Incarnation incarnation, Revision revision);

    /** Marks a member that did not answer a probe as suspect. */
    void suspect(NodeId node, Instant now);

    /** Changes the description of this process and increases its version. */
    void changeSelf(const std::function<void(Member &)> &change);

    /** Sets the revision in force at this process. Every datagram carries it, so that the version need not increase. */
    void changeOwnRevision(Revision revision);

    /** Declares suspects dead whose timeout has ended, ends damping, and removes dead members after their retention. */
    void expire(Instant now);

    /** Postpones the deadlines of suspects. */
    void postpone(Duration pause);

    /** Time at which expire() is due. */
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /** Time of the last change of the description or status of another member. */
    [[nodiscard]] Instant lastChange() const noexcept;

    [[nodiscard]] const Member &self() const;
    [[nodiscard]] const MemberTable &table() const noexcept;
    [[nodiscard]] const ViewTable &views() const noexcept;
    [[nodiscard]] std::uint64_t hash() const noexcept;
    [[nodiscard]] std::size_t stateBytes() const;
    [[nodiscard]] UpdateQueue &queue() noexcept;
    [[nodiscard]] std::uint64_t suspicions() const noexcept;
    [[nodiscard]] std::uint64_t refutations() const noexcept;

private:
    void refute(const MemberStatusNotice &notice);
    void declareReplacedMembersDead(const Member &member, Instant now);
    void processChange(MemberEntry &entry, const std::optional<Member> &before, Instant now);
    void countFailure(MemberEntry &entry, Instant now);
    void report(const MemberEntry &entry);
    void updateExpiry();
    [[nodiscard]] Duration suspicionTimeout() const;

    const MembershipCore::Options &m_options;
    std::vector<MembershipAction> &m_actions;
    MemberTable m_table;
    ViewTable m_views;
    std::uint64_t m_viewsHash = 0;
    UpdateQueue m_queue;
    Instant m_lastChange;
    std::optional<Instant> m_nextExpiry;
    std::uint64_t m_suspicions = 0;
    std::uint64_t m_refutations = 0;
};

/** Returns the time in which a suspect may refute the suspicion, in a cell of that many members. */
Duration suspicionTimeout(const MembershipCore::Options &options, std::size_t members);

} // namespace lagoonroute
