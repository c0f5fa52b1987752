#pragma once

#include <lagoonroute/membership/viewcore.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Tells the homes of this process whether they may start tasks, and keeps the leases that allow it.
 *
 * A home with a mirror may, unless this process is isolated from the other members. Without a mirror, or isolated for
 * longer than the grace, it may only while its lease in the store is confirmed, less a margin that covers the time
 * between the store's clock and this one.
 */
class StartFence
{
public:
    explicit StartFence(const ViewCore::Options &options);

    /** This process is home of the shard; appends StartsAllowed where that changed, and returns whether to renew the lease now. */
    bool update(const ShardKey &shard, bool hasMirror, bool isIsolated, Instant now, std::vector<ViewAction> &actions);

    /** Tells whether the lease of the shard is held now; `wanted` also returns, in it, whether to ask for it now. */
    bool holdsForTakeover(const ShardKey &shard, Instant now, bool &wanted);

    /** The lease call for the shard. */
    StoreLease request(const ShardKey &shard, Instant now);

    /**
     * The answer to the last lease call for the shard. Returns true when the lease was not held before: another process
     * may have held it meanwhile, so that it counts only once the views were read again and confirm() was called.
     */
    bool answered(const ShardKey &shard, StoreStatus status, Instant now);

    /** The views were read after the lease was granted, and name the same home. */
    void confirm(const ShardKey &shard);

    /** This process is no longer home of the shard. */
    void release(const ShardKey &shard);

private:
    struct State
    {
        std::optional<StartsAllowed> told;
        bool isLeaseNeeded = false;
        bool isAsked = false;
        Instant askedAt;
        Instant nextAsk;
        std::optional<Instant> until; /**< End of the confirmed lease less the margin. */
        std::optional<Instant> unconfirmedUntil; /**< The same for a lease that awaits confirm(). */
        std::optional<Instant> isolatedSince;
    };

    bool isAskDue(const State &state, Instant now) const;
    static void tell(State &state, const StartsAllowed &allowed, std::vector<ViewAction> &actions);

    const ViewCore::Options &m_options;
    std::map<ShardKey, State> m_states;
};

} // namespace lagoonroute
