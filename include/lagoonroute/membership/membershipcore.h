#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/membershipevents.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Counters of MembershipCore since its start. */
struct MembershipCounts
{
    std::uint64_t sent = 0; /**< Datagrams. */
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t foreign = 0; /**< Datagrams of another cell or for another process, which were dropped. */
    std::uint64_t suspicions = 0; /**< Members that this process itself found silent. */
    std::uint64_t refutations = 0; /**< Beliefs about this process that it refuted. */
    std::uint64_t exchanges = 0; /**< Digests sent because a peer knew another state. */
    std::uint64_t refused = 0; /**< Descriptions dropped because too many members are known. */

    auto operator<=>(const MembershipCounts &) const = default;
};

/**
 * Decides who belongs to a cell and who is alive, after SWIM with suspicion, and spreads views.
 *
 * Each process probes one other at a time, round robin in random order; who answers neither directly nor through
 * others is suspected, and declared dead unless it refutes the suspicion with a higher version. News rides on probes
 * and on datagrams of its own until it has been sent often enough for the size of the cell. Every datagram carries a hash of
 * the sender's state; where hashes keep differing, digests are exchanged, so that partitions heal. After a pause of
 * this process its own deadlines are moved on: a pause is no evidence against others.
 *
 * Pure: time and seed are passed in.
 */
class MembershipCore
{
public:
    /** Identity of the process and the pace of the protocol. */
    struct Options
    {
        Member self; /**< Version and status are set by the core. */
        std::string cell = "default";
        std::uint64_t seed = 1;
        Duration probeInterval = std::chrono::milliseconds(500);
        Duration probeTimeout = std::chrono::milliseconds(150); /**< Before others are asked to probe. */
        Duration spreadInterval = std::chrono::milliseconds(200); /**< Between datagrams that carry updates only. */
        Duration exchangeInterval = std::chrono::seconds(2); /**< Least time between two exchanges of digests. */
        Duration reconnectInterval = std::chrono::seconds(5); /**< Between tries to reach dead members and contacts. */
        Duration deadRetention = std::chrono::minutes(30); /**< After that, a dead member is forgotten. */
        std::size_t maxMembers = 1024; /**< Dead ones included. */

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit MembershipCore(const Options &options);
    ~MembershipCore();

    MembershipCore(const MembershipCore &) = delete;
    MembershipCore &operator=(const MembershipCore &) = delete;

    /** Takes an event in and appends what is to be done. */
    void handle(const MembershipEvent &event, Instant now, std::vector<MembershipAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** This process as it describes itself. */
    [[nodiscard]] const Member &self() const;

    /** The other members, the dead ones within retention included. */
    [[nodiscard]] std::vector<Member> members() const;

    /** Counters for metrics. */
    [[nodiscard]] MembershipCounts counts() const;

    /** Size of the state in bytes, without the allocator's overhead. */
    [[nodiscard]] std::size_t stateBytes() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** Largest description of a member, in bytes; offers beyond it are left out. */
inline constexpr std::size_t maxMemberBytes = 1000;

/** Time after a failure within which every member that can reach others has declared the failed one dead. */
Duration detectionBound(const MembershipCore::Options &options, std::size_t members);

} // namespace lagoonroute
