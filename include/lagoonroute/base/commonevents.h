#pragma once

#include <lagoonroute/base/shardview.h>
#include <lagoonroute/base/time.h>

#include <compare>
#include <optional>

namespace lagoonroute
{

/** This process learned of a new view of a shard. */
struct ViewChanged
{
    ShardView view;

    auto operator<=>(const ViewChanged &) const = default;
};

/** This process is about to propose a view. From then on it must not acknowledge any record of a lower epoch of the shard. */
struct ViewProposed
{
    ShardView view;

    auto operator<=>(const ViewProposed &) const = default;
};

/**
 * Whether the home of a shard may start tasks. It may not while another home could have replaced it without its knowledge.
 *
 * A home without a mirror may not start tasks before the first such event. A home with a mirror checks with its mirror,
 * and may start tasks until such an event revokes the permission. That happens when home and mirror are both cut off
 * from all other processes.
 */
struct StartsAllowed
{
    ShardKey shard;
    bool allowed = true;
    std::optional<Instant> until; /**< End of the confirmed lease minus the safety margin; empty if valid until revoked. */

    auto operator<=>(const StartsAllowed &) const = default;
};

/** Time has passed: the receiver processes everything that has become due. */
struct TimeElapsed
{
};

} // namespace lagoonroute
