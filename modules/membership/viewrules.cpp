#include "viewrules.h"

#include <algorithm>

namespace lagoonroute
{

ViewRules::ViewRules(const ViewCore::Options &options, const ViewKnowledge &knowledge)
    : m_options(options)
    , m_knowledge(knowledge)
{
}

const Member *ViewRules::living(NodeId node, Incarnation life) const
{
    const auto found = m_knowledge.members.find(node);
    const bool isLiving = found != m_knowledge.members.end() && (life == 0 || found->second.incarnation == life);
    return isLiving ? &found->second : nullptr;
}

Instant ViewRules::knownSince() const
{
    return m_knowledge.startedAt + m_options.settleTime;
}

std::optional<Instant> ViewRules::deadSince(NodeId node, Incarnation life) const
{
    if (living(node, life) != nullptr) {
        return std::nullopt;
    }
    const auto death = m_knowledge.deaths.find(node);
    return death == m_knowledge.deaths.end() ? knownSince() : death->second.at;
}

std::ptrdiff_t ViewRules::visibleCount() const
{
    return std::count_if(
        m_knowledge.members.begin(), m_knowledge.members.end(), [](const auto &entry) { return entry.second.status != MemberStatus::Suspect; });
}

std::ptrdiff_t ViewRules::missingCount(Instant diedAfter) const
{
    return std::count_if(m_knowledge.deaths.begin(), m_knowledge.deaths.end(), [this, diedAfter](const auto &entry) {
        const bool isBack = m_knowledge.members.find(entry.first) != m_knowledge.members.end();
        return !isBack && !entry.second.wasLeaving && entry.second.at >= diedAfter;
    });
}

bool ViewRules::isIsolated() const
{
    const auto known = static_cast<std::ptrdiff_t>(m_knowledge.members.size()) + missingCount(Instant::min());
    return known > 1 && visibleCount() * 2 <= known;
}

/** Like isIsolated(), but forgets the dead after a while, and counts those of the view that were never seen. */
bool ViewRules::isMinority(const ShardView &view, Instant now) const
{
    auto known = static_cast<std::ptrdiff_t>(m_knowledge.members.size()) + missingCount(now - m_options.memberMemory);
    if (now < m_knowledge.startedAt + m_options.memberMemory) {
        for (const NodeId node : { view.home, view.mirror }) {
            const bool isSeen = m_knowledge.members.find(node) != m_knowledge.members.end() || m_knowledge.deaths.find(node) != m_knowledge.deaths.end();
            known += isSeen ? 0 : 1;
        }
    }
    return visibleCount() * 2 <= known;
}

bool ViewRules::isHome(const ShardView &view) const
{
    return view.home == m_knowledge.self.id && !namesOtherIncarnation(view);
}

bool ViewRules::isMirror(const ShardView &view) const
{
    return view.mirror == m_knowledge.self.id && !namesOtherIncarnation(view);
}

bool ViewRules::namesOtherIncarnation(const ShardView &view) const
{
    const Member &self = m_knowledge.self;
    const bool isOldHome = view.home == self.id && view.homeIncarnation != 0 && view.homeIncarnation != self.incarnation;
    const bool isOldMirror = view.mirror == self.id && view.mirrorIncarnation != 0 && view.mirrorIncarnation != self.incarnation;
    return isOldHome || isOldMirror;
}

ShardView ViewRules::nextView(const ShardView &view, const Member &home, NodeId excluded) const
{
    ShardView next{ .key = view.key, .epoch = view.epoch + 1, .home = home.id, .homeIncarnation = home.incarnation };
    const auto mirror = chooseMirror(view.key, home, m_knowledge.members, excluded);
    if (mirror) {
        next.mirror = *mirror;
        next.mirrorIncarnation = m_knowledge.members.at(*mirror).incarnation;
    }
    return next;
}

std::optional<Proposal> ViewRules::proposal(const ShardKey &shard, Instant now) const
{
    if (now < knownSince()) {
        return std::nullopt;
    }
    const auto found = m_knowledge.views.find(shard);
    if (found == m_knowledge.views.end()) {
        const bool isFirst = chooseHome(shard, m_knowledge.members) == m_knowledge.self.id;
        return isFirst ? std::optional(Proposal{ nextView(ShardView{ .key = shard }, m_knowledge.self), ProposalCause::FirstView }) : std::nullopt;
    }
    const ShardView &view = found->second;
    if (isHome(view)) {
        return proposeAsHome(view, now);
    }
    if (isMirror(view)) {
        return proposeAsMirror(view, now);
    }
    return proposeTakeover(view, now);
}

std::optional<Proposal> ViewRules::proposeAsHome(const ShardView &view, Instant now) const
{
    const Member *mirror = view.mirror.isValid() ? living(view.mirror, view.mirrorIncarnation) : nullptr;
    const bool isUsable = mirror != nullptr && mirror->status != MemberStatus::Leaving;
    if (!isUsable) {
        const Proposal change{ nextView(view, m_knowledge.self), ProposalCause::MirrorChange };
        const bool isUseful = change.view.mirror.isValid() || (view.mirror.isValid() && mirror == nullptr);
        return isUseful ? std::optional(change) : std::nullopt;
    }
    if (m_knowledge.isDraining) {
        return proposeHandover(view);
    }
    const auto improvable = m_knowledge.improvableSince.find(view.key);
    if (improvable != m_knowledge.improvableSince.end() && now >= improvable->second + m_options.improvementDelay) {
        return Proposal{ nextView(view, m_knowledge.self), ProposalCause::MirrorChange };
    }
    return std::nullopt;
}

std::optional<Proposal> ViewRules::proposeHandover(const ShardView &view) const
{
    const auto synchronised = m_knowledge.synchronised.find(view.key);
    const Member *mirror = living(view.mirror, view.mirrorIncarnation);
    const bool isReady = synchronised != m_knowledge.synchronised.end() && synchronised->second == view.epoch && mirror->status == MemberStatus::Alive;
    if (!isReady) {
        return std::nullopt;
    }
    return Proposal{ nextView(view, *mirror, m_knowledge.self.id), ProposalCause::Handover };
}

std::optional<Proposal> ViewRules::proposeAsMirror(const ShardView &view, Instant now) const
{
    const auto proposed = m_knowledge.proposed.find(view.key);
    const bool isCommitted = proposed != m_knowledge.proposed.end() && proposed->second == view.epoch + 1;
    const auto dead = deadSince(view.home, view.homeIncarnation);
    if (!isCommitted && (!dead || *dead > now)) {
        return std::nullopt;
    }
    Proposal promotion{ nextView(view, m_knowledge.self), ProposalCause::Promotion };
    const auto synchronised = m_knowledge.synchronised.find(view.key);
    promotion.view.recordsKept = synchronised != m_knowledge.synchronised.end() && synchronised->second == view.epoch;
    return promotion;
}

std::optional<Proposal> ViewRules::proposeTakeover(const ShardView &view, Instant now) const
{
    const auto homeDead = deadSince(view.home, view.homeIncarnation);
    const auto mirrorDead = view.mirror.isValid() ? deadSince(view.mirror, view.mirrorIncarnation) : homeDead;
    if (!homeDead || !mirrorDead || chooseHome(view.key, m_knowledge.members) != m_knowledge.self.id) {
        return std::nullopt;
    }
    // Without a mirror the home starts under its lease only, which the takeover takes from it. A pair stops by itself
    // only when it is cut off from the majority, so that nobody outside the majority may replace it.
    if (view.mirror.isValid() && isMinority(view, now)) {
        return std::nullopt;
    }
    const auto known = static_cast<Duration::rep>(m_knowledge.members.size() + m_knowledge.deaths.size());
    const Duration delay = view.mirror.isValid() ? m_options.takeoverDelay + (m_options.takeoverDelayPerMember * known) : Duration{ 0 };
    if (now < std::max(*homeDead, *mirrorDead) + delay) {
        return std::nullopt;
    }
    Proposal takeover{ nextView(view, m_knowledge.self), ProposalCause::Takeover };
    takeover.view.recordsKept = false;
    return takeover;
}

bool ViewRules::isMirrorImprovable(const ShardView &view) const
{
    const Member *mirror = living(view.mirror, view.mirrorIncarnation);
    if (!isHome(view) || mirror == nullptr) {
        return false;
    }
    const ShardView better = nextView(view, m_knowledge.self);
    const auto chosen = m_knowledge.members.find(better.mirror);
    return chosen != m_knowledge.members.end() && placeDistance(m_knowledge.self, chosen->second) < placeDistance(m_knowledge.self, *mirror);
}

} // namespace lagoonroute
