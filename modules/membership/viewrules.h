#pragma once

#include <lagoonroute/membership/memberchoice.h>
#include <lagoonroute/membership/viewcore.h>

#include <map>
#include <optional>
#include <set>

namespace lagoonroute
{

/** Why a view is proposed. */
enum class ProposalCause : std::uint8_t {
    FirstView,
    Promotion, /**< The mirror takes over from its dead home. */
    MirrorChange,
    Takeover, /**< Home and mirror are dead. */
    Handover, /**< The home stops as planned. */
};

/** A view that this process is to propose. */
struct Proposal
{
    ShardView view;
    ProposalCause cause = ProposalCause::FirstView;
};

/** Death of one life of a member. */
struct Death
{
    Incarnation life = 0;
    Instant at;
    bool wasLeaving = false;
};

/** What a process knows about the members of its cell and the views of its shards. */
struct ViewKnowledge
{
    Member self;
    LiveMembers members; /**< This process included. */
    std::map<NodeId, Death> deaths;
    std::map<ShardKey, ShardView> views;
    std::map<ShardKey, Epoch> synchronised; /**< Epoch under which home and mirror have the same records. */
    std::map<ShardKey, Epoch> proposed; /**< Epoch of a promotion for which this mirror stopped to acknowledge. */
    std::map<ShardKey, Instant> improvableSince; /**< Since when a mirror in a better place lives. */
    bool isDraining = false;
    Instant startedAt;
};

/** The rules by which a process proposes views; docs/design/views.md has the reasons. */
class ViewRules
{
public:
    /** Creates rules over knowledge that must outlive them. */
    ViewRules(const ViewCore::Options &options, const ViewKnowledge &knowledge);

    /** Returns what this process is to propose for the shard now, if anything. */
    [[nodiscard]] std::optional<Proposal> proposal(const ShardKey &shard, Instant now) const;

    /** Since when that life of the member is dead; nothing while it lives. */
    [[nodiscard]] std::optional<Instant> deadSince(NodeId node, Incarnation life) const;

    /** Tells whether this process sees no more than half of the members that it knew. */
    [[nodiscard]] bool isIsolated() const;

    /** Tells whether this life of this process is home of the view, or its mirror. */
    [[nodiscard]] bool isHome(const ShardView &view) const;
    [[nodiscard]] bool isMirror(const ShardView &view) const;

    /** Tells whether the view names another life of this process. */
    [[nodiscard]] bool namesOtherIncarnation(const ShardView &view) const;

    /** Tells whether a mirror in a better place than the present one lives. */
    [[nodiscard]] bool isMirrorImprovable(const ShardView &view) const;

private:
    [[nodiscard]] std::optional<Proposal> proposeAsHome(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeAsMirror(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeTakeover(const ShardView &view, Instant now) const;
    [[nodiscard]] std::optional<Proposal> proposeHandover(const ShardView &view) const;
    [[nodiscard]] bool isMinority(const ShardView &view, Instant now) const;
    [[nodiscard]] std::ptrdiff_t visibleCount() const;
    [[nodiscard]] std::ptrdiff_t missingCount(Instant diedAfter) const;
    [[nodiscard]] ShardView nextView(const ShardView &view, const Member &home, NodeId excluded = {}) const;
    [[nodiscard]] Instant knownSince() const;
    [[nodiscard]] const Member *living(NodeId node, Incarnation life) const;

    const ViewCore::Options &m_options;
    const ViewKnowledge &m_knowledge;
};

} // namespace lagoonroute
