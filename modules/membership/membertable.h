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

/** Mixes the bits of a number, so that sums of results depend on every bit. */
std::uint64_t mixBits(std::uint64_t value);

/** What a process knows of one member. */
struct MemberEntry
{
    Member member;
    std::optional<Instant> suspectUntil; /**< Dead from then on unless refuted. */
    Instant diedAt;
    std::uint32_t failures = 0; /**< Deaths, suspicions and restarts that still count for damping. */
    Instant lastFailure;
    std::optional<Instant> heldBackUntil; /**< Reported as Suspect until then, after many failures. */
};

/** Everything that a process knows of the members of its cell, with the rules of which news is newer. */
class MemberTable
{
public:
    /** The members by identity. */
    using Entries = std::map<NodeId, MemberEntry>;

    /** Creates a table for at most `capacity` members, dead ones included. */
    explicit MemberTable(std::size_t capacity);

    /** Takes a description in if it is news. Returns the entry that changed, or nullptr. */
    MemberEntry *apply(const Member &news);

    /** Takes a notice in if it is news. Returns the entry that changed, or nullptr. */
    MemberEntry *apply(const MemberNotice &news);

    /** The entry of a member, or nullptr. */
    MemberEntry *find(NodeId id);
    const MemberEntry *find(NodeId id) const;

    /** All entries in the order of their identities. */
    Entries &entries() noexcept;
    const Entries &entries() const noexcept;

    /** Drops a member. */
    void erase(NodeId id);

    /** Number of members that are not dead. */
    std::size_t liveCount() const noexcept;

    /** Hash over identity, incarnation and version of the members that are not dead. */
    std::uint64_t hash() const noexcept;

    /** Number of descriptions that were dropped because the table was full. */
    std::uint64_t refused() const noexcept;

private:
    void changeStatus(MemberEntry &entry, const Member &news);
    void include(const Member &member);
    void exclude(const Member &member);
    bool makeRoom();

    std::size_t m_capacity;
    Entries m_entries;
    std::size_t m_liveCount = 0;
    std::uint64_t m_hash = 0;
    std::uint64_t m_refused = 0;
};

/** Tells whether a belief about a member replaces another: later life, later version, or the graver status. */
bool isNewer(const MemberNotice &news, const MemberNotice &known);

/** The short form of a member. */
MemberNotice noticeOf(const Member &member);

} // namespace lagoonroute
