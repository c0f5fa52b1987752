#pragma once

#include <lagoonroute/base/identifiers.h>

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** Identity of a shard: a part of a service's submissions that one home coordinates. */
struct ShardKey
{
    std::string service;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardKey &) const = default;
};

/** Home and mirror of a shard. A view changes only by a compare-and-swap in the platform's store, to a higher epoch. */
struct ShardView
{
    ShardKey key;
    Epoch epoch = 0;
    NodeId home; /**< Coordinates the jobs of the shard. */
    NodeId mirror; /**< Stores a copy of every record; invalid if the shard has no mirror. */
    bool recordsKept = true; /**< False if neither home nor mirror of the previous view was left to take over the records of the shard. */
    Incarnation homeIncarnation = 0; /**< Incarnation of the home that has the records; 0 matches any. */
    Incarnation mirrorIncarnation = 0; /**< Incarnation of the mirror; 0 matches any. */

    auto operator<=>(const ShardView &) const = default;
};

} // namespace lagoonroute
