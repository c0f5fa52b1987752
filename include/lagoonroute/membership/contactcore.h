#pragma once

#include <lagoonroute/base/time.h>
#include <lagoonroute/membership/membershipevents.h>
#include <lagoonroute/store/storeport.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lagoonroute
{

/** Event of ContactCore. */
using ContactEvent = std::variant<MemberChanged, MemberGone, StoreReply, TimeElapsed>;

/** Action of ContactCore. ContactsUpdated is meant for MembershipCore. */
using ContactAction = std::variant<StoreCall, ContactsUpdated>;

/**
 * Provides the addresses at which a process first contacts its cell: those from its settings, and those in the
 * platform's store, which holds one value for each availability zone.
 *
 * A process reads the values once, and again at each refresh while it has no other live member. Only the first alive
 * member of a zone by rendezvous hash writes the value of that zone, and only when an address in it no longer belongs
 * to a live member or too few are stored. The number of store calls therefore does not grow with the number of members.
 * The class does no I/O; time and seed are passed in.
 */
class ContactCore
{
public:
    /** Identity of the process, contacts and zones from its settings, and intervals. */
    struct Options
    {
        Member self;
        std::string cell = "default";
        std::vector<NodeAddress> configuredContacts; /**< From the settings. */
        std::vector<std::string> zones; /**< Availability zones whose contacts are read, in addition to the process's own zone. */
        std::uint64_t seed = 1;
        std::size_t contactsPerZone = 3;
        Duration refreshInterval = std::chrono::seconds(30); /**< Between two checks whether a value has to be read or written. */

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withConfiguredContacts(std::vector<NodeAddress> contacts, std::vector<std::string> zoneNames) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit ContactCore(const Options &options);
    ~ContactCore();

    ContactCore(const ContactCore &) = delete;
    ContactCore &operator=(const ContactCore &) = delete;

    /** Handles an event and appends the resulting actions. Pass only store replies with the purpose Contact. */
    void handle(const ContactEvent &event, Instant now, std::vector<ContactAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
