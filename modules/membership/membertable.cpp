#include "membertable.h"

#include <algorithm>
#include <tuple>

namespace lagoonroute
{

namespace
{

int severity(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return 0;
    case MemberStatus::Leaving:
        return 1;
    case MemberStatus::Suspect:
        return 2;
    case MemberStatus::Dead:
        return 3;
    }
    return 3;
}

std::uint64_t hashOf(const Member &member)
{
    return mixBits(mixBits(mixBits(member.id.value) ^ member.incarnation) ^ member.version);
}

} // namespace

std::uint64_t mixBits(std::uint64_t value)
{
    // Finalizer of SplitMix64.
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EB;
    return value ^ (value >> 31U);
}

bool isNewer(const MemberStatusNotice &update, const MemberStatusNotice &known)
{
    return std::tuple(update.incarnation, update.version, severity(update.status)) > std::tuple(known.incarnation, known.version, severity(known.status));
}

MemberStatusNotice noticeOf(const Member &member)
{
    return { member.id, member.incarnation, member.version, member.status };
}

MemberTable::MemberTable(std::size_t capacity)
    : m_capacity(capacity)
{
}

MemberEntry *MemberTable::apply(const Member &update)
{
    const auto found = m_entries.find(update.id);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_capacity && !evictOldestDead()) {
            ++m_refused;
            return nullptr;
        }
        MemberEntry &entry = m_entries[update.id];
        entry.member = update;
        addToTotals(update);
        return &entry;
    }
    MemberEntry &entry = found->second;
    if (!isNewer(noticeOf(update), noticeOf(entry.member))) {
        return nullptr;
    }
    replaceMember(entry, update);
    return &entry;
}

MemberEntry *MemberTable::apply(const MemberStatusNotice &update)
{
    const auto found = m_entries.find(update.id);
    if (found == m_entries.end() || !isNewer(update, noticeOf(found->second.member))) {
        return nullptr;
    }
    const bool describesKnownState = update.incarnation == found->second.member.incarnation && update.version == found->second.member.version;
    if (!describesKnownState && update.status != MemberStatus::Dead) {
        return nullptr;
    }
    Member changed = found->second.member;
    changed.incarnation = update.incarnation;
    changed.version = update.version;
    changed.status = update.status;
    replaceMember(found->second, changed);
    return &found->second;
}

void MemberTable::replaceMember(MemberEntry &entry, const Member &update)
{
    removeFromTotals(entry.member);
    const bool isSameIncarnation = entry.member.incarnation == update.incarnation;
    const Revision knownRevision = isSameIncarnation ? entry.member.configurationRevision : 0;
    entry.member = update;
    entry.member.configurationRevision = std::max(update.configurationRevision, knownRevision);
    addToTotals(update);
}

void MemberTable::addToTotals(const Member &member)
{
    if (member.status != MemberStatus::Dead) {
        ++m_liveCount;
        m_hash += hashOf(member);
    }
}

void MemberTable::removeFromTotals(const Member &member)
{
    if (member.status != MemberStatus::Dead) {
        --m_liveCount;
        m_hash -= hashOf(member);
    }
}

bool MemberTable::evictOldestDead()
{
    auto oldest = m_entries.end();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const bool isDead = entry->second.member.status == MemberStatus::Dead;
        if (isDead && (oldest == m_entries.end() || entry->second.deadSince < oldest->second.deadSince)) {
            oldest = entry;
        }
    }
    if (oldest == m_entries.end()) {
        return false;
    }
    m_entries.erase(oldest);
    return true;
}

MemberEntry *MemberTable::find(NodeId id)
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

const MemberEntry *MemberTable::find(NodeId id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

MemberTable::Entries &MemberTable::entries() noexcept
{
    return m_entries;
}

const MemberTable::Entries &MemberTable::entries() const noexcept
{
    return m_entries;
}

void MemberTable::erase(NodeId id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end()) {
        removeFromTotals(found->second.member);
        m_entries.erase(found);
    }
}

std::size_t MemberTable::liveCount() const noexcept
{
    return m_liveCount;
}

std::uint64_t MemberTable::hash() const noexcept
{
    return m_hash;
}

std::uint64_t MemberTable::refused() const noexcept
{
    return m_refused;
}

} // namespace lagoonroute
