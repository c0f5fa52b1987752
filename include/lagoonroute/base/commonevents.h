#pragma once

#include <lagoonroute/base/shardview.h>
#include <lagoonroute/base/time.h>

#include <compare>
#include <optional>

namespace lagoonroute
{

/** The view of a shard is known to have changed. */
struct ViewChanged
{
    ShardView view;

    auto operator<=>(const ViewChanged &) const = default;
};

/** This process is about to propose a view: from now on, acknowledge no record of a lower epoch of the shard. */
struct ViewProposed
{
    ShardView view;

    auto operator<=>(const ViewProposed &) const = default;
};

/**
 * Whether the home of a shard may start tasks; it may not while another home could have replaced it unnoticed.
 *
 * A home without a mirror may not start any until the first such event. A home with a mirror asks its mirror, and may
 * start tasks until it is told otherwise: a pair that is cut off from all others is.
 */
struct StartsAllowed
{
    ShardKey shard;
    bool allowed = true;
    std::optional<Instant> until; /**< End of the confirmed lease less its margin; nothing means until revoked. */

    auto operator<=>(const StartsAllowed &) const = default;
};

/** Time has passed; what is due by now is done. */
struct TimeElapsed
{
};

} // namespace lagoonroute
