#pragma once

#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Key of the platform's store under which entries publish their addresses. */
inline constexpr const char *entryContactsKey = "lagoonroute/entries";

/** Maximum number of addresses in the list; the oldest are dropped. Three zones have at most a dozen entries each. */
inline constexpr std::size_t maxEntryContacts = 48;

/** Returns the addresses in the value of the contacts key; lines without an address are ignored. */
std::vector<std::string> readEntryContacts(const std::string &value);

/** Returns the swap that adds the address to the list, or no value if the list contains it already. */
std::optional<StoreSwap> addEntryContact(const StoreEntry &current, const std::string &address);

} // namespace lagoonroute
