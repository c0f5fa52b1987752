#pragma once

#include <lagoonroute/membership/gossipmessage.h>

#include <lagoonroute/base/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lagoonroute
{

/** Returns a hash of a number with well mixed bits, so that sums of such hashes depend on every bit of the numbers. */
std::uint64_t mixBits(std::uint64_t value);

/** A member with the times of its status changes and failures. */
struct MemberEntry
{
    Member member;
    std::optional<Instant> suspectUntil; /**< Declared dead at that time unless it refutes the suspicion. */
    Instant deadSince; /**< Valid while the status is Dead. */
    std::uint32_t failures = 0; /**< Recent times declared dead, refuted suspicions and restarts, which count for damping. */
    Instant lastFailure;
    std::optional<Instant> dampedUntil; /**< Until then reported as Suspect because of many failures. */
};

/** The members of a cell, dead ones included. Applies an update only if it is newer than the stored state. */
class MemberTable
{
public:
    /** The members by identity. */
    using Entries = std::map<NodeId, MemberEntry>;

    /** Creates a table for at most `capacity` members, dead ones included. */
    explicit MemberTable(std::size_t capacity);

    /** Applies a description if it is newer. Returns the changed entry, or nullptr. */
    MemberEntry *apply(const Member &update);

    /**
     * Applies a notice if it is newer. Returns the changed entry, or nullptr.
     *
     * A notice about a version that is not stored is ignored unless its status is Dead, since the description is missing.
     */
    MemberEntry *apply(const MemberStatusNotice &update);

    /** Returns the entry of a member, or nullptr. */
    MemberEntry *find(NodeId id);
    const MemberEntry *find(NodeId id) const;

    /** All entries, ordered by identity. */
    Entries &entries() noexcept;
    const Entries &entries() const noexcept;

    /** Removes a member. */
    void erase(NodeId id);

    /** Number of members that are not dead. */
    std::size_t liveCount() const noexcept;

    /** Hash over identity, incarnation and version of the members that are not dead. */
    std::uint64_t hash() const noexcept;

    /** Number of descriptions that were dropped because the table was full. */
    std::uint64_t refused() const noexcept;

private:
    void replaceMember(MemberEntry &entry, const Member &update);
    void addToTotals(const Member &member);
    void removeFromTotals(const Member &member);
    bool evictOldestDead();

    std::size_t m_capacity;
    Entries m_entries;
    std::size_t m_liveCount = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_refused = 0;
};

/** Returns whether an update supersedes another: it has the higher incarnation, then version, then severity of status. */
bool isNewer(const MemberStatusNotice &update, const MemberStatusNotice &known);

/** Returns the notice with the status of a member. */
MemberStatusNotice noticeOf(const Member &member);

} // namespace lagoonroute
