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
    std::uint64_t foreign = 0; /**< Datagrams dropped because they came from another cell or were meant for another process. */
    std::uint64_t suspicions = 0; /**< Members that did not answer the probes of this process. */
    std::uint64_t refutations = 0; /**< Wrong statuses of this process that it refuted. */
    std::uint64_t exchanges = 0; /**< Digest exchanges started because a peer had a different state. */
    std::uint64_t droppedDescriptions = 0; /**< Descriptions dropped because the member table was full. */

    auto operator<=>(const MembershipCounts &) const = default;
};

/**
 * Maintains the members of a cell and their status with the SWIM protocol with suspicion, and spreads views by gossip.
 *
 * Each process probes one other member at a time, round robin in random order. A member that answers neither directly
 * nor through others becomes a suspect, and is declared dead unless it refutes the suspicion with a higher version.
 * Updates are piggybacked on probes and sent in datagrams of their own until the number of transmissions is sufficient
 * for the size of the cell. Every datagram carries a hash of the sender's state. Where the hashes keep differing, the
 * processes exchange digests, so that their states converge after a partition. After a pause of this process its
 * deadlines are postponed, since missing answers during the pause do not show that other members failed.
 *
 * The class does no I/O; time and seed are passed in.
 */
class MembershipCore
{
public:
    /** Identity of the process, and intervals and limits of the protocol. */
    struct Options
    {
        Member self; /**< MembershipCore sets version and status. */
        std::string cell = "default";
        std::uint64_t seed = 1;
        Duration probeInterval = std::chrono::milliseconds(500);
        Duration probeTimeout = std::chrono::milliseconds(150); /**< After that, other members are requested to probe. */
        Duration gossipInterval = std::chrono::milliseconds(200); /**< Between datagrams that carry updates only. */
        Duration exchangeInterval = std::chrono::seconds(2); /**< Minimum time between two digest exchanges. */
        Duration reconnectInterval = std::chrono::seconds(5); /**< Between attempts to reach dead members and contacts. */
        Duration deadRetention = std::chrono::minutes(30); /**< After that, a dead member is removed. */
        std::size_t maxMembers = 1024; /**< Dead members included. */

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit MembershipCore(const Options &options);
    ~MembershipCore();

    MembershipCore(const MembershipCore &) = delete;
    MembershipCore &operator=(const MembershipCore &) = delete;

    /** Handles an event and appends the resulting actions. */
    void handle(const MembershipEvent &event, Instant now, std::vector<MembershipAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** Description of this process. */
    [[nodiscard]] const Member &self() const;

    /** The other members, including dead ones until their retention ends. */
    [[nodiscard]] std::vector<Member> members() const;

    /** Counters for metrics. */
    [[nodiscard]] MembershipCounts counts() const;

    /** Approximate size of the state in bytes, without the allocator's overhead. */
    [[nodiscard]] std::size_t stateBytes() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/** Largest description of a member, in bytes. Offers that do not fit are left out. */
inline constexpr std::size_t maxMemberBytes = 1000;

/** Returns the time within which every member that can reach others declares a failed member dead. */
Duration detectionBound(const MembershipCore::Options &options, std::size_t members);

} // namespace lagoonroute
