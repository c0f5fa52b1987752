#include <lagoonroute/direct/entrylookup.h>

#include <lagoonroute/direct/entrycontacts.h>

#include <utility>

namespace lagoonroute
{

EntryLookup::EntryLookup(std::uint64_t seed, std::uint64_t callNumber)
    : m_follower(KeyFollower::Options().withKey(entryContactsKey, StorePurpose::Contact).withSeed(seed), callNumber)
{
}

void EntryLookup::setConfigured(std::vector<std::string> addresses)
{
    m_configured = std::move(addresses);
}

std::optional<StoreCall> EntryLookup::next(bool hasContact, Instant now)
{
    if (hasContact || !m_lastContact) {
        m_lastContact = now;
    }
    if (now - *m_lastContact < delay) {
        return std::nullopt;
    }
    return m_follower.next(now);
}

std::vector<std::string> EntryLookup::handle(const StoreReply &reply, Instant now)
{
    m_follower.handle(reply, now);
    std::vector<std::string> addresses = m_configured;
    for (std::string &address : readEntryContacts(m_follower.entry().value)) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

} // namespace lagoonroute
