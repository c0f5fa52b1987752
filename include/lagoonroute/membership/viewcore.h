#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/membershipevents.h>
#include <lagoonroute/store/storeport.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Number of shards of each configured service. */
struct ServicesConfigured
{
    std::map<std::string, std::uint32_t> shards;
};

/**
 * Whether the mirror of a shard has every record of its home. Both the home's and the mirror's process report this to
 * their own ViewCore, each from its own state.
 */
struct MirrorSynchronised
{
    ShardKey shard;
    Epoch epoch = 0;
    bool synchronised = false;
};

/** A planned stop has begun: every shard of which this process is home or mirror has to be handed over. */
struct DrainRequested
{
};

/** Event of ViewCore. */
using ViewEvent = std::
    variant<MemberChanged, MemberGone, NewerViewReceived, LocalStateChanged, ServicesConfigured, MirrorSynchronised, DrainRequested, StoreReply, TimeElapsed>;

/** Action of ViewCore. ViewReadFromStore is meant for MembershipCore; ViewChanged, ViewProposed and StartsAllowed for the dispatch core. */
using ViewAction = std::variant<StoreCall, ViewChanged, ViewProposed, StartsAllowed, ViewReadFromStore>;

/**
 * Chooses home and mirror of each shard of a cell, and changes the table of views in the platform's store by
 * compare-and-swap.
 *
 * The view of a shard changes only if there is none yet, if its home or mirror is missing, dead or leaving, or if another
 * agent shares fewer failure domains with the home than the mirror does. Views do not change while the store is unavailable.
 * docs/design/views.md gives the rules and the reasons for the times. The class does no I/O; time and seed are passed in.
 */
class ViewCore
{
public:
    /**
     * Identity of the process, and delays.
     *
     * A home and mirror that are isolated from the other members must have stopped starting tasks before they are
     * replaced. The takeover delay therefore has to exceed the sum of the time in which two processes find half of the
     * members unresponsive, the isolation grace, and the difference between the longest and the shortest time to detect
     * a failed member.
     */
    struct Options
    {
        Member self;
        std::string cell = "default";
        std::uint64_t seed = 1;
        Duration settleTime = std::chrono::seconds(3); /**< After the start, before members that were never reported count as dead. */
        Duration takeoverDelay = std::chrono::seconds(20); /**< From the failure of both home and mirror to their replacement. */
        Duration takeoverDelayPerMember = std::chrono::milliseconds(125); /**< Added to takeoverDelay for each known member. */
        Duration isolationGrace = std::chrono::seconds(3); /**< After the beginning of isolation, tasks may be started without a lease for that long. */
        Duration leaseTerm = std::chrono::seconds(10);
        Duration leaseMargin = std::chrono::seconds(2); /**< Starts end that long before the lease expires. */
        Duration improvementDelay = std::chrono::seconds(30); /**< Before a mirror is replaced by one that shares fewer failure domains with the home. */
        Duration watchWait = std::chrono::seconds(30); /**< Longest time that a watch waits in the store for a change. */
        Duration deadMemberRetention = std::chrono::minutes(30); /**< Dead members count as missing for that long, and without limit during isolation. */
        std::size_t watchersPerZone = 2;

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit ViewCore(const Options &options);
    ~ViewCore();

    ViewCore(const ViewCore &) = delete;
    ViewCore &operator=(const ViewCore &) = delete;

    /** Handles an event and appends the resulting actions. Pass only store replies with the purposes View and Lease. */
    void handle(const ViewEvent &event, Instant now, std::vector<ViewAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The newest view of each shard that this process has received. */
    [[nodiscard]] const std::map<ShardKey, ShardView> &views() const;

    /** Returns whether no view names this process as home or mirror, so that a drain is complete. */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
