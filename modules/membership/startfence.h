#pragma once

#include <lagoonroute/membership/viewcore.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Decides whether the homes of this process may start tasks, and tracks the leases that allow it.
 *
 * A home with a mirror may start tasks unless this process is isolated from the other members. Without a mirror, or
 * after longer isolation than the grace, it may start tasks only while it holds a confirmed lease in the store. The
 * lease ends earlier by a margin that covers the difference between the store's clock and the clock of this process.
 */
class StartFence
{
public:
    explicit StartFence(const ViewCore::Options &options);

    /**
     * Updates a shard of which this process is home. Appends StartsAllowed if it changed, and returns whether the lease
     * has to be requested now.
     */
    bool update(const ShardKey &shard, bool hasMirror, bool isIsolated, Instant now, std::vector<ViewAction> &actions);

    /** Returns whether the lease of the shard is held now, and in `isRequestDue` whether it has to be requested now. */
    bool holdsForTakeover(const ShardKey &shard, Instant now, bool &isRequestDue);

    /** Returns the store operation that requests or renews the lease of the shard, and marks the request as pending. */
    StoreLease request(const ShardKey &shard, Instant now);

    /**
     * Handles the reply to the last lease request for the shard. Returns true if the lease was granted and was not held
     * before: another process may have held it in between, so that it becomes valid only after the views were read again
     * and confirm() was called.
     */
    bool handleReply(const ShardKey &shard, StoreStatus status, Instant now);

    /** Makes a granted lease valid, after the views were read again and the view of the shard is unchanged. */
    void confirm(const ShardKey &shard);

    /** Drops the state of a shard of which this process is no longer home. */
    void release(const ShardKey &shard);

private:
    struct State
    {
        std::optional<StartsAllowed> lastReported;
        bool isLeaseNeeded = false;
        bool isRequestPending = false;
        Instant requestedAt;
        Instant nextRequest;
        std::optional<Instant> until; /**< End of the confirmed lease less the margin. */
        std::optional<Instant> unconfirmedUntil; /**< The same for a lease that was granted and is not yet confirmed. */
        std::optional<Instant> isolatedSince;
    };

    bool mayRequest(const State &state, Instant now) const;
    static void report(State &state, const StartsAllowed &allowed, std::vector<ViewAction> &actions);

    const ViewCore::Options &m_options;
    std::map<ShardKey, State> m_states;
};

} // namespace lagoonroute
