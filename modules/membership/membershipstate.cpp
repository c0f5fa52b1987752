#include "membershipstate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lagoonroute
{

namespace
{

constexpr int suspicionIntervals = 3;
constexpr std::uint32_t toleratedFailures = 3;
constexpr std::uint32_t maxDampingDoublings = 4;
constexpr Duration initialDamping = std::chrono::seconds(5);
constexpr Duration maxDamping = std::chrono::seconds(60);
constexpr Duration failureWindow = std::chrono::minutes(2);

Member withBoundedSize(Member member)
{
    while (!member.offers.empty() && encodedSize(member) > maxMemberBytes) {
        member.offers.pop_back();
    }
    return member;
}

} // namespace

Duration suspicionTimeout(const MembershipCore::Options &options, std::size_t members)
{
    const double scale = std::max(1.0, std::log10(static_cast<double>(members + 1)));
    return std::chrono::duration_cast<Duration>(options.probeInterval * suspicionIntervals * scale);
}

MembershipState::MembershipState(const MembershipCore::Options &options, std::vector<MembershipAction> &actions)
    : m_options(options)
    , m_actions(actions)
    , m_table(options.maxMembers)
{
    Member self = withBoundedSize(options.self);
    self.status = MemberStatus::Alive;
    self.version = 1;
    m_table.apply(self);
    m_queue.addMember(self.id, true);
}

Duration MembershipState::suspicionTimeout() const
{
    return lagoonroute::suspicionTimeout(m_options, m_table.liveCount());
}

void MembershipState::apply(const Member &update, bool isAnswer, Instant now)
{
    if (update.id == m_options.self.id) {
        refute(noticeOf(update));
        return;
    }
    const MemberEntry *known = m_table.find(update.id);
    const std::optional<Member> before = known == nullptr ? std::nullopt : std::optional(known->member);
    MemberEntry *entry = m_table.apply(update);
    if (entry == nullptr) {
        return;
    }
    if (!isAnswer || before) {
        m_queue.addMember(update.id, true);
    }
    declareReplacedMembersDead(update, now);
    processChange(*entry, before, now);
}

void MembershipState::apply(const MemberStatusNotice &update, Instant now)
{
    if (update.id == m_options.self.id) {
        refute(update);
        return;
    }
    const MemberEntry *known = m_table.find(update.id);
    if (known == nullptr) {
        return;
    }
    const Member before = known->member;
    MemberEntry *entry = m_table.apply(update);
    if (entry == nullptr) {
        return;
    }
    m_queue.addMember(update.id, false);
    processChange(*entry, before, now);
}

void MembershipState::processChange(MemberEntry &entry, const std::optional<Member> &before, Instant now)
{
    m_lastChange = now;
    entry.suspectUntil.reset();
    if (entry.member.status == MemberStatus::Suspect) {
        entry.suspectUntil = now + suspicionTimeout();
    }
    if (entry.member.status == MemberStatus::Dead) {
        entry.deadSince = now;
        countFailure(entry, now);
    }
    if (before) {
        const bool isNewIncarnation = before->incarnation != entry.member.incarnation;
        if (isNewIncarnation && before->status != MemberStatus::Dead) {
            m_actions.emplace_back(MemberGone{ *before });
            countFailure(entry, now);
        }
        if (before->status == MemberStatus::Suspect && entry.member.status == MemberStatus::Alive) {
            countFailure(entry, now);
        }
    }
    report(entry);
    updateExpiry();
}

void MembershipState::countFailure(MemberEntry &entry, Instant now)
{
    if (now - entry.lastFailure > failureWindow) {
        entry.failures = 0;
    }
    entry.lastFailure = now;
    ++entry.failures;
    if (entry.failures > toleratedFailures) {
        const std::uint32_t doublings = std::min(entry.failures - toleratedFailures - 1, maxDampingDoublings);
        entry.dampedUntil = now + std::min(initialDamping * (1U << doublings), maxDamping);
    }
}

void MembershipState::report(const MemberEntry &entry)
{
    if (entry.member.status == MemberStatus::Dead) {
        m_actions.emplace_back(MemberGone{ entry.member });
        return;
    }
    MemberChanged change{ entry.member };
    if (entry.dampedUntil && change.member.status == MemberStatus::Alive) {
        change.member.status = MemberStatus::Suspect;
    }
    m_actions.emplace_back(std::move(change));
}

void MembershipState::declareReplacedMembersDead(const Member &member, Instant now)
{
    if (member.status == MemberStatus::Dead) {
        return;
    }
    for (auto &[id, other] : m_table.entries()) {
        const bool isReplaced = id != member.id && id != m_options.self.id && other.member.address == member.address
            && other.member.incarnation < member.incarnation && other.member.status != MemberStatus::Dead;
        if (isReplaced) {
            MemberStatusNotice notice = noticeOf(other.member);
            notice.status = MemberStatus::Dead;
            apply(notice, now);
        }
    }
}

void MembershipState::refute(const MemberStatusNotice &notice)
{
    const Member &own = self();
    if (notice.incarnation > own.incarnation) {
        m_actions.emplace_back(SelfReplaced{ notice.incarnation });
        return;
    }
    const bool needsRefutation = notice.incarnation == own.incarnation && notice.version >= own.version && notice.status != own.status;
    if (!needsRefutation) {
        return;
    }
    ++m_refutations;
    changeSelf([&notice](Member &member) { member.version = notice.version; });
}

void MembershipState::changeSelf(const std::function<void(Member &)> &change)
{
    Member changed = self();
    change(changed);
    ++changed.version;
    m_table.apply(withBoundedSize(std::move(changed)));
    m_queue.addMember(m_options.self.id, true);
}

void MembershipState::changeOwnRevision(Revision revision)
{
    m_table.find(m_options.self.id)->member.configurationRevision = revision;
}

void MembershipState::updateRevision(NodeId node, Incarnation incarnation, Revision revision)
{
    MemberEntry *entry = m_table.find(node);
    if (entry == nullptr || entry->member.incarnation != incarnation || entry->member.configurationRevision >= revision) {
        return;
    }
    entry->member.configurationRevision = revision;
    if (entry->member.status != MemberStatus::Dead) {
        report(*entry);
    }
}

void MembershipState::suspect(NodeId node, Instant now)
{
    MemberEntry *entry = m_table.find(node);
    if (entry == nullptr) {
        return;
    }
    MemberStatusNotice notice = noticeOf(entry->member);
    if (notice.status == MemberStatus::Alive || notice.status == MemberStatus::Leaving) {
        ++m_suspicions;
        notice.status = MemberStatus::Suspect;
        apply(notice, now);
    }
}

void MembershipState::apply(const ShardView &update, bool isLocal)
{
    const auto known = m_views.find(update.key);
    if (known != m_views.end() && known->second.epoch >= update.epoch) {
        return;
    }
    if (known != m_views.end()) {
        m_viewsHash -= hashOf(known->second);
    }
    m_views[update.key] = update;
    m_viewsHash += hashOf(update);
    m_queue.addView(update.key);
    if (!isLocal) {
        m_actions.emplace_back(NewerViewReceived{ update });
    }
}

void MembershipState::expire(Instant now)
{
    if (!m_nextExpiry || *m_nextExpiry > now) {
        return;
    }
    std::vector<MemberStatusNotice> overdue;
    std::vector<NodeId> expired;
    for (auto &[id, entry] : m_table.entries()) {
        if (entry.suspectUntil && *entry.suspectUntil <= now) {
            overdue.push_back({ id, entry.member.incarnation, entry.member.version, MemberStatus::Dead });
        }
        if (entry.dampedUntil && *entry.dampedUntil <= now) {
            entry.dampedUntil.reset();
            if (entry.member.status == MemberStatus::Alive) {
                report(entry);
            }
        }
        if (entry.member.status == MemberStatus::Dead && entry.deadSince + m_options.deadRetention <= now) {
            expired.push_back(id);
        }
    }
    for (const MemberStatusNotice &notice : overdue) {
        apply(notice, now);
    }
    for (const NodeId id : expired) {
        m_table.erase(id);
    }
    updateExpiry();
}

void MembershipState::postpone(Duration pause)
{
    for (auto &[id, entry] : m_table.entries()) {
        if (entry.suspectUntil) {
            *entry.suspectUntil += pause;
        }
    }
    updateExpiry();
}

void MembershipState::updateExpiry()
{
    m_nextExpiry.reset();
    const auto consider = [this](Instant instant) { m_nextExpiry = m_nextExpiry ? std::min(*m_nextExpiry, instant) : instant; };
    for (const auto &[id, entry] : m_table.entries()) {
        if (entry.suspectUntil) {
            consider(*entry.suspectUntil);
        }
        if (entry.dampedUntil) {
            consider(*entry.dampedUntil);
        }
        if (entry.member.status == MemberStatus::Dead) {
            consider(entry.deadSince + m_options.deadRetention);
        }
    }
}

std::optional<Instant> MembershipState::nextExpiry() const
{
    return m_nextExpiry;
}

Instant MembershipState::lastChange() const noexcept
{
    return m_lastChange;
}

const Member &MembershipState::self() const
{
    return m_table.find(m_options.self.id)->member;
}

const MemberTable &MembershipState::table() const noexcept
{
    return m_table;
}

const ViewTable &MembershipState::views() const noexcept
{
    return m_views;
}

std::uint64_t MembershipState::hash() const noexcept
{
    return m_table.hash() + m_viewsHash;
}

UpdateQueue &MembershipState::queue() noexcept
{
    return m_queue;
}

std::uint64_t MembershipState::suspicions() const noexcept
{
    return m_suspicions;
}

std::uint64_t MembershipState::refutations() const noexcept
{
    return m_refutations;
}

std::size_t MembershipState::stateBytes() const
{
    constexpr std::size_t treeNodeBytes = 48;
    std::size_t bytes = 0;
    for (const auto &[id, entry] : m_table.entries()) {
        const Member &member = entry.member;
        bytes += sizeof(id) + sizeof(entry) + treeNodeBytes + member.name.capacity() + member.zone.capacity() + member.rack.capacity()
            + member.address.ip.capacity() + (member.offers.capacity() * sizeof(ServiceOffer));
    }
    return bytes + (m_views.size() * (sizeof(ShardKey) + sizeof(ShardView) + treeNodeBytes));
}

} // namespace lagoonroute
