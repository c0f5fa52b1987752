#pragma once

#include <lagoonroute/base/identifiers.h>

#include <compare>
#include <cstdint>
#include <string>

namespace lagoonroute
{

/** Part of a service's submissions that one home decides about. */
struct ShardKey
{
    std::string service;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardKey &) const = default;
};

/** Who decides about a shard. A view changes only by compare-and-swap in the platform's store, to a higher epoch. */
struct ShardView
{
    ShardKey key;
    Epoch epoch = 0;
    NodeId home; /**< Coordinates the jobs of the shard. */
    NodeId mirror; /**< Keeps a copy of every record; invalid while the shard has none. */
    bool recordsKept = true; /**< False when neither home nor mirror of the view before could take over its records. */
    Incarnation homeIncarnation = 0; /**< Life of the home that has the records; 0 for any. */
    Incarnation mirrorIncarnation = 0; /**< Life of the mirror; 0 for any. */

    auto operator<=>(const ShardView &) const = default;
};

} // namespace lagoonroute
