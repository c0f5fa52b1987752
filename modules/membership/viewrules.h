#pragma once

#include <lagoonroute/membership/memberchoice.h>
#include <lagoonroute/membership/viewcore.h>

#include <map>
#include <optional>
#include <set>

namespace lagoonroute
{

/** Reason for which a view is proposed. */
enum class ProposalCause : std::uint8_t {
    FirstView,
    Promotion, /**< The mirror replaces its dead home. */
    MirrorChange,
    Takeover, /**< Home and mirror are dead. */
    Handover, /**< The home is in a planned stop. */
};

/** A view that this process has to propose. */
struct Proposal
{
    ShardView view;
    ProposalCause cause = ProposalCause::FirstView;
};

/** Last incarnation of a member that was reported gone. */
struct DeadMember
{
    Incarnation incarnation = 0;
    Instant at;
    bool wasLeaving = false;
};

/** Members of the cell and views of its shards, as this process has them: the input of ViewRules. */
struct ViewState
{
    Member self;
    LiveMembers members; /**< This process included. */
    std::map<NodeId, DeadMember> deadMembers;
    std::map<ShardKey, ShardView> views;
    std::map<ShardKey, Epoch> synchronised; /**< Epoch in which home and mirror have the same records. */
    std::map<ShardKey, Epoch> proposed; /**< Epoch of a promotion for which this mirror stopped acknowledging records of the epoch before. */
    std::map<ShardKey, Instant> betterMirrorSince; /**< Since when a better mirror has been available; see hasBetterMirror(). */
    bool isDraining = false;
    Instant startedAt;
};

/** Rules by which a process proposes views. docs/design/views.md gives the reasons. */
class ViewRules
{
public:
    /** Creates rules over options and a state that must outlive them. */
    ViewRules(const ViewCore::Options &options, const ViewState &state);

    /** Returns the proposal that this process has to make for the shard now, if any. */
    [[nodiscard]] std::optional<Proposal> proposal(const ShardKey &shard, Instant now) const;

    /**
     * Returns since when that incarnation of the member is dead; empty while it is live. Incarnation 0 stands for any. A
     * member that was never reported counts as dead from the end of the settle time.
     */
    [[nodiscard]] std::optional<Instant> deadSince(NodeId node, Incarnation incarnation) const;

    /**
     * Returns whether at most half of the known members are visible, that is neither suspect nor dead. Members that died
     * while leaving do not count as known.
     */
    [[nodiscard]] bool isIsolated() const;

    /** Returns whether this incarnation of this process is home, or mirror, of the view. */
    [[nodiscard]] bool isHome(const ShardView &view) const;
    [[nodiscard]] bool isMirror(const ShardView &view) const;

    /** Returns whether the view names another incarnation of this process. */
    [[nodiscard]] bool namesOtherIncarnation(const ShardView &view) const;

    /** Returns whether this process is home and chooseMirror() yields an agent that shares fewer failure domains with it. */
    [[nodiscard]] bool hasBetterMirror(const ShardView &view) const;

private:
    [[nodiscard]] std::optional<Proposal> proposeAsHome(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeAsMirror(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeTakeover(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeHandover(const ShardView &view) const;
    [[nodiscard]] bool isMinority(const ShardView &view, Instant now) const;
    [[nodiscard]] std::ptrdiff_t visibleCount() const;
    [[nodiscard]] std::ptrdiff_t missingCount(Instant since) const;
    [[nodiscard]] ShardView nextView(const ShardView &view, const Member &home, NodeId excluded = {}) const;
    [[nodiscard]] Instant settledAt() const;
    [[nodiscard]] const Member *findLive(NodeId node, Incarnation incarnation) const;

    const ViewCore::Options &m_options;
    const ViewState &m_state;
};

} // namespace lagoonroute
