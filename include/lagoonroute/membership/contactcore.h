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

/** Action of ContactCore. ContactsUpdated is for MembershipCore. */
using ContactAction = std::variant<StoreCall, ContactsUpdated>;

/**
 * Finds first contacts: addresses from settings, and a value in the platform's store for each availability zone.
 *
 * Each process reads the values once, and again while it knows no other member. The first live member of a zone by
 * rendezvous hash writes the value of its zone when an address in it is no longer that of a live member, so that calls
 * of the store do not grow with the number of members. Pure: time and seed are passed in.
 */
class ContactCore
{
public:
    /** Identity of the process, what its settings name, and times. */
    struct Options
    {
        Member self;
        std::string cell = "default";
        std::vector<NodeAddress> settings; /**< Contacts that the settings name. */
        std::vector<std::string> zones; /**< Availability zones whose contacts are read; that of the process is added. */
        std::uint64_t seed = 1;
        std::size_t contactsPerZone = 3;
        Duration refreshInterval = std::chrono::seconds(30); /**< Between two looks at the value of the zone. */

        Options withSelf(Member member) const;
        Options withCell(std::string name) const;
        Options withSettings(std::vector<NodeAddress> contacts, std::vector<std::string> zoneNames) const;
        Options withSeed(std::uint64_t value) const;
    };

    explicit ContactCore(const Options &options);
    ~ContactCore();

    ContactCore(const ContactCore &) = delete;
    ContactCore &operator=(const ContactCore &) = delete;

    /** Takes an event in and appends what is to be done. Of StoreReply only the purpose Contact is meant. */
    void handle(const ContactEvent &event, Instant now, std::vector<ContactAction> &actions);

    /** Time at which TimeElapsed is due. */
    [[nodiscard]] std::optional<Instant> nextWake() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace lagoonroute
