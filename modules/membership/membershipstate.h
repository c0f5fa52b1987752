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

/** The beliefs of one process: takes news in, reports changes, and decides when a silent member is dead. */
class MembershipState
{
public:
    MembershipState(const MembershipCore::Options &options, std::vector<MembershipAction> &actions);

    /** Takes news in, spreads it unless `isAnswer`, and reports what changed. */
    void apply(const Member &news, bool isAnswer, Instant now);
    void apply(const MemberNotice &news, Instant now);
    void apply(const ShardView &news, bool isLocal);

    /** A member that this process has in contact told its configuration revision. */
    void updateRevision(NodeId node, Incarnation incarnation, Revision revision);

    /** A probe of the member had no answer. */
    void suspect(NodeId node, Instant now);

    /** Changes the description of this process under a higher version. */
    void changeSelf(const std::function<void(Member &)> &change);

    /** Sets the revision in force here; it travels in every datagram, without a higher version. */
    void changeOwnRevision(Revision revision);

    /** Declares the overdue suspects dead, ends hold-backs, and forgets old deaths. */
    void expire(Instant now);

    /** Moves the deadlines of suspects on. */
    void postpone(Duration pause);

    /** Time at which expire() has something to do. */
    [[nodiscard]] std::optional<Instant> nextExpiry() const;

    /** Time when a description, a view or a status changed last. */
    [[nodiscard]] Instant lastNews() const noexcept;

    [[nodiscard]] const Member &self() const;
    [[nodiscard]] const MemberTable &table() const noexcept;
    [[nodiscard]] const ViewTable &views() const noexcept;
    [[nodiscard]] std::uint64_t hash() const noexcept;
    [[nodiscard]] std::size_t stateBytes() const;
    [[nodiscard]] UpdateQueue &queue() noexcept;
    [[nodiscard]] std::uint64_t suspicions() const noexcept;
    [[nodiscard]] std::uint64_t refutations() const noexcept;

private:
    void refute(const MemberNotice &belief);
    void retireOthersAt(const Member &member, Instant now);
    void changed(MemberEntry &entry, const std::optional<Member> &before, Instant now);
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
    Instant m_lastNews;
    std::optional<Instant> m_nextExpiry;
    std::uint64_t m_suspicions = 0;
    std::uint64_t m_refutations = 0;
};

/** Time that a suspect has to refute, in a cell of that many members. */
Duration suspicionTimeout(const MembershipCore::Options &options, std::size_t members);

} // namespace lagoonroute
