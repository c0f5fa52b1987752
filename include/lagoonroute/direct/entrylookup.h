#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/store/keyfollower.h>

#include <optional>
#include <string>
#include <vector>

namespace lagoonroute
{

/**
 * Finds entries for an agent that has no contact to any: in the list of the platform's store and among the addresses of its settings.
 *
 * The store is read only while there is no contact, so that its load does not grow with the number of agents.
 */
class EntryLookup
{
public:
    /** Time without contact after which entries are looked up. */
    static constexpr Duration delay = std::chrono::milliseconds(1000);

    /** Creates a lookup that makes its calls to the store with the given number. */
    EntryLookup(std::uint64_t seed, std::uint64_t callNumber);

    /** Sets the addresses of the settings. */
    void setConfigured(std::vector<std::string> addresses);

    /** Records whether the process is in contact with an entry. Returns the call to the store that is due, if any. */
    std::optional<StoreCall> next(bool hasContact, Instant now);

    /**
     * Handles the answer to a call. Returns the addresses to dial: the configured ones and those of the list, also if its version has been
     * read before, and also if the store does not answer now.
     */
    std::vector<std::string> handle(const StoreReply &reply, Instant now);

private:
    KeyFollower m_follower;
    std::vector<std::string> m_configured;
    std::optional<Instant> m_lastContact; // or the first call of next()
};

} // namespace lagoonroute
