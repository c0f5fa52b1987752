#pragma once

#include <lagoonroute/store/storeport.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/** Key of the platform's store under which entries leave their addresses. */
inline constexpr const char *entryContactsKey = "lagoonroute/entries";

/** Most addresses in the list; the oldest fall out. Three zones hold at most a dozen entries each. */
inline constexpr std::size_t maxEntryContacts = 48;

/** Returns the addresses in the value of the contacts key; lines that are no address are left out. */
std::vector<std::string> readEntryContacts(const std::string &value);

/** Returns the swap that adds the address to the list, or nothing when it stands there already. */
std::optional<StoreSwap> addEntryContact(const StoreEntry &current, const std::string &address);

} // namespace lagoonroute
