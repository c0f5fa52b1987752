#include "viewrules.h"

#include <algorithm>

namespace lagoonroute
{

ViewRules::ViewRules(const ViewCore::Options &options, const ViewState &state)
    : m_options(options)
    , m_state(state)
{
}

const Member *ViewRules::findLive(NodeId node, Incarnation incarnation) const
{
    const auto found = m_state.members.find(node);
    const bool isLive = found != m_state.members.end() && (incarnation == 0 || found->second.incarnation == incarnation);
    return isLive ? &found->second : nullptr;
}

Instant ViewRules::settledAt() const
{
    return m_state.startedAt + m_options.settleTime;
}

std::optional<Instant> ViewRules::deadSince(NodeId node, Incarnation incarnation) const
{
    if (findLive(node, incarnation) != nullptr) {
        return std::nullopt;
    }
    const auto deadMember = m_state.deadMembers.find(node);
    return deadMember == m_state.deadMembers.end() ? settledAt() : deadMember->second.at;
}

std::ptrdiff_t ViewRules::visibleCount() const
{
    return std::count_if(m_state.members.begin(), m_state.members.end(), [](const auto &entry) { return entry.second.status != MemberStatus::Suspect; });
}

std::ptrdiff_t ViewRules::missingCount(Instant since) const
{
    return std::count_if(m_state.deadMembers.begin(), m_state.deadMembers.end(), [this, since](const auto &entry) {
        const bool isBack = m_state.members.find(entry.first) != m_state.members.end();
        return !isBack && !entry.second.wasLeaving && entry.second.at >= since;
    });
}

bool ViewRules::isIsolated() const
{
    const auto known = static_cast<std::ptrdiff_t>(m_state.members.size()) + missingCount(Instant::min());
    return known > 1 && visibleCount() * 2 <= known;
}

/**
 * Like isIsolated(), but ignores dead members after their retention and, for that time after the start, also counts the
 * home and mirror of the view as missing if they were never reported.
 */
bool ViewRules::isMinority(const ShardView &view, Instant now) const
{
    auto known = static_cast<std::ptrdiff_t>(m_state.members.size()) + missingCount(now - m_options.deadMemberRetention);
    if (now < m_state.startedAt + m_options.deadMemberRetention) {
        for (const NodeId node : { view.home, view.mirror }) {
            const bool isSeen = m_state.members.find(node) != m_state.members.end() || m_state.deadMembers.find(node) != m_state.deadMembers.end();
            known += isSeen ? 0 : 1;
        }
    }
    return visibleCount() * 2 <= known;
}

bool ViewRules::isHome(const ShardView &view) const
{
    return view.home == m_state.self.id && !namesOtherIncarnation(view);
}

bool ViewRules::isMirror(const ShardView &view) const
{
    return view.mirror == m_state.self.id && !namesOtherIncarnation(view);
}

bool ViewRules::namesOtherIncarnation(const ShardView &view) const
{
    const Member &self = m_state.self;
    const bool isOldHome = view.home == self.id && view.homeIncarnation != 0 && view.homeIncarnation != self.incarnation;
    const bool isOldMirror = view.mirror == self.id && view.mirrorIncarnation != 0 && view.mirrorIncarnation != self.incarnation;
    return isOldHome || isOldMirror;
}

ShardView ViewRules::nextView(const ShardView &view, const Member &home, NodeId excluded) const
{
    ShardView next{ .key = view.key, .epoch = view.epoch + 1, .home = home.id, .homeIncarnation = home.incarnation };
    const auto mirror = chooseMirror(view.key, home, m_state.members, excluded);
    if (mirror) {
        next.mirror = *mirror;
        next.mirrorIncarnation = m_state.members.at(*mirror).incarnation;
    }
    return next;
}

std::optional<Proposal> ViewRules::proposal(const ShardKey &shard, Instant now) const
{
    if (now < settledAt()) {
        return std::nullopt;
    }
    const auto found = m_state.views.find(shard);
    if (found == m_state.views.end()) {
        const bool isFirst = chooseHome(shard, m_state.members) == m_state.self.id;
        return isFirst ? std::optional(Proposal{ nextView(ShardView{ .key = shard }, m_state.self), ProposalCause::FirstView }) : std::nullopt;
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
    const Member *mirror = view.mirror.isValid() ? findLive(view.mirror, view.mirrorIncarnation) : nullptr;
    const bool isUsable = mirror != nullptr && mirror->status != MemberStatus::Leaving;
    if (!isUsable) {
        const Proposal change{ nextView(view, m_state.self), ProposalCause::MirrorChange };
        const bool isUseful = change.view.mirror.isValid() || (view.mirror.isValid() && mirror == nullptr);
        return isUseful ? std::optional(change) : std::nullopt;
    }
    if (m_state.isDraining) {
        return proposeHandover(view);
    }
    const auto betterSince = m_state.betterMirrorSince.find(view.key);
    if (betterSince != m_state.betterMirrorSince.end() && now >= betterSince->second + m_options.improvementDelay) {
        return Proposal{ nextView(view, m_state.self), ProposalCause::MirrorChange };
    }
    return std::nullopt;
}

std::optional<Proposal> ViewRules::proposeHandover(const ShardView &view) const
{
    const auto synchronised = m_state.synchronised.find(view.key);
    const Member *mirror = findLive(view.mirror, view.mirrorIncarnation);
    const bool isReady = synchronised != m_state.synchronised.end() && synchronised->second == view.epoch && mirror->status == MemberStatus::Alive;
    if (!isReady) {
        return std::nullopt;
    }
    return Proposal{ nextView(view, *mirror, m_state.self.id), ProposalCause::Handover };
}

std::optional<Proposal> ViewRules::proposeAsMirror(const ShardView &view, Instant now) const
{
    const auto proposed = m_state.proposed.find(view.key);
    const bool isCommitted = proposed != m_state.proposed.end() && proposed->second == view.epoch + 1;
    const auto dead = deadSince(view.home, view.homeIncarnation);
    if (!isCommitted && (!dead || *dead > now)) {
        return std::nullopt;
    }
    Proposal promotion{ nextView(view, m_state.self), ProposalCause::Promotion };
    const auto synchronised = m_state.synchronised.find(view.key);
    promotion.view.recordsKept = synchronised != m_state.synchronised.end() && synchronised->second == view.epoch;
    return promotion;
}

std::optional<Proposal> ViewRules::proposeTakeover(const ShardView &view, Instant now) const
{
    const auto homeDead = deadSince(view.home, view.homeIncarnation);
    const auto mirrorDead = view.mirror.isValid() ? deadSince(view.mirror, view.mirrorIncarnation) : homeDead;
    if (!homeDead || !mirrorDead || chooseHome(view.key, m_state.members) != m_state.self.id) {
        return std::nullopt;
    }
    // A home without a mirror starts tasks only under its lease, which the takeover has to acquire. A pair stops by
    // itself only when it is isolated from the majority, so that only a process in the majority may replace it.
    if (view.mirror.isValid() && isMinority(view, now)) {
        return std::nullopt;
    }
    const auto known = static_cast<Duration::rep>(m_state.members.size() + m_state.deadMembers.size());
    const Duration delay = view.mirror.isValid() ? m_options.takeoverDelay + (m_options.takeoverDelayPerMember * known) : Duration{ 0 };
    if (now < std::max(*homeDead, *mirrorDead) + delay) {
        return std::nullopt;
    }
    Proposal takeover{ nextView(view, m_state.self), ProposalCause::Takeover };
    takeover.view.recordsKept = false;
    return takeover;
}

bool ViewRules::hasBetterMirror(const ShardView &view) const
{
    const Member *mirror = findLive(view.mirror, view.mirrorIncarnation);
    if (!isHome(view) || mirror == nullptr) {
        return false;
    }
    const ShardView better = nextView(view, m_state.self);
    const auto chosen = m_state.members.find(better.mirror);
    return chosen != m_state.members.end() && failureDomainOverlap(m_state.self, chosen->second) < failureDomainOverlap(m_state.self, *mirror);
}

} // namespace lagoonroute
