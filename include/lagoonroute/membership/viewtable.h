#pragma once

#include <lagoonroute/base/shardview.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonroute
{

/** The views of a cell, which the platform's store holds in one value, with the marks of the latest writes. */
struct StoredViews
{
    std::map<ShardKey, ShardView> views;
    std::vector<std::string> marks; /**< Newest last. */

    auto operator<=>(const StoredViews &) const = default;
};

/** Returns the value for the store, as JSON. */
std::string encodeViews(const StoredViews &stored);

/** Decodes a value of the store; an empty value yields no views. Throws InvalidDocument if the value is malformed. */
StoredViews decodeViews(std::string_view value);

/** Returns the store's key for the views of a cell. */
std::string viewsKey(std::string_view cell);

} // namespace lagoonroute
