#include <lagoonroute/direct/entrycontacts.h>

#include <algorithm>
#include <sstream>

namespace lagoonroute
{

std::vector<std::string> readEntryContacts(const std::string &value)
{
    std::vector<std::string> addresses;
    std::istringstream lines(value);
    for (std::string line; std::getline(lines, line);) {
        if (line.find(':') != std::string::npos && addresses.size() < maxEntryContacts) {
            addresses.push_back(line);
        }
    }
    return addresses;
}

std::optional<StoreSwap> addEntryContact(const StoreEntry &current, const std::string &address)
{
    std::vector<std::string> addresses = readEntryContacts(current.value);
    if (std::find(addresses.begin(), addresses.end(), address) != addresses.end()) {
        return std::nullopt;
    }
    addresses.insert(addresses.begin(), address);
    if (addresses.size() > maxEntryContacts) {
        addresses.pop_back();
    }
    std::string value;
    for (const std::string &line : addresses) {
        value += line + "\n";
    }
    return StoreSwap{ entryContactsKey, value, current.version };
}

} // namespace lagoonroute
