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

/** Number of shards of every configured service. */
struct ServicesConfigured
{
    std::map<std::string, std::uint32_t> shards;
};

/**
 * Whether the mirror of a shard has every record of its home. Told by the home's and by the mirror's process, each of
 * which acts on what it knows itself.
 */
struct MirrorSynchronised
{
    ShardKey shard;
    Epoch epoch = 0;
    bool synchronised = false;
};

/** A planned stop has begun: hand over every shard of which this process is home or mirror. */
struct DrainRequested
{
};

/** Event of ViewCore. */
using ViewEvent
    = std::variant<MemberChanged, MemberGone, NewerViewReceived, LocalChanged, ServicesConfigured, MirrorSynchronised, DrainRequested, StoreReply, TimeElapsed>;

/** Action of ViewCore. ViewLearned is for MembershipCore, the other views for the dispatch core. */
using ViewAction = std::variant<StoreCall, ViewChanged, ViewProposed, StartsAllowed, ViewLearned>;

/**
 * Decides who is home and mirror of each shard of a cell, and changes the table in the platform's store by
 * compare-and-swap.
 *
 * A shard moves only for a cause: it has no view, a member of its view died or leaves, or its mirror fails together
 * with its home although a better one lives. While the store is down, views stand still. docs/design/views.md has the
 * rules and the reasons for the times. Pure: time and seed are passed in.
 */
class ViewCore
{
public:
    /**
     * Identity of the process, and times.
     *
     * A pair that is cut off from the other members must have stopped before it is replaced: the takeover delay has to
     * exceed the time in which two processes find half of the members silent, plus the isolation grace, plus the
     * longest detection of a death less the shortest.
     */
    struct Options
    {
        Member self;
        std::string cell = "default";
        std::uint64_t seed = 1;
        Duration settleTime = std::chrono::seconds(3); /**< After the start, before unknown members count as dead. */
        Duration takeoverDelay = std::chrono::seconds(20); /**< From the death of a whole pair to its replacement. */
        Duration takeoverDelayPerMember = std::chrono::milliseconds(125); /**< On top, for each member known. */
        Duration isolationGrace = std::chrono::seconds(3); /**< From isolation to the end of starts without a lease. */
        Duration leaseTerm = std::chrono::seconds(10);
        Duration leaseMargin = std::chrono::seconds(2); /**< Starts end that much before the term of the lease. */
        Duration improvementDelay = std::chrono::seconds(30); /**< Before a mirror moves to a better place. */
        Duration watchWait = std::chrono::seconds(30);
        Duration memberMemory = std::chrono::minutes(30); /**< Dead members count as missing for that long, and for ever while isolated. */
        std::size_t watchersPerZone = 2;

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit ViewCore(const Options &options);
    ~ViewCore();

    ViewCore(const ViewCore &) = delete;
    ViewCore &operator=(const ViewCore &) = delete;

    /** Takes an event in and appends what is to be done. Of StoreReply only the purposes View and Lease are meant. */
    void handle(const ViewEvent &event, Instant now, std::vector<ViewAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

    /** The views that this process knows. */
    [[nodiscard]] const std::map<ShardKey, ShardView> &views() const;

    /** Tells whether no view names this process, so that a drain is done. */
    [[nodiscard]] bool isDrained() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
