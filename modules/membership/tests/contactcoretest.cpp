#include "cellfixture.h"

#include <lagoonroute/membership/contactcore.h>
#include <lagoonroute/store/storemodel.h>

#include <boost/test/unit_test.hpp>

using namespace lagoonroute;

BOOST_AUTO_TEST_SUITE(ContactCoreTest)

namespace
{

/** Nine processes in three zones, each with a ContactCore, and one store. */
struct Contacts
{
    static constexpr std::size_t count = 9;
    StoreModel store;
    Instant now{ std::chrono::seconds(100) };
    std::vector<std::unique_ptr<ContactCore>> cores;
    std::vector<std::vector<NodeAddress>> known{ count };

    Contacts()
    {
        for (std::size_t index = 0; index < count; ++index) {
            const auto options = ContactCore::Options().withSelf(Cell::describe(index)).withConfiguredContacts({}, { "zone-0", "zone-1", "zone-2" });
            cores.push_back(std::make_unique<ContactCore>(options));
            for (std::size_t other = 0; other < count; ++other) {
                if (other != index) {
                    feed(index, MemberChanged{ Cell::describe(other) });
                }
            }
        }
    }

    void feed(std::size_t index, const ContactEvent &event)
    {
        std::vector<ContactAction> actions;
        cores.at(index)->handle(event, now, actions);
        for (const ContactAction &action : actions) {
            if (const auto *call = std::get_if<StoreCall>(&action)) {
                store.submit(index, *call, now);
            } else {
                known.at(index) = std::get<ContactsUpdated>(action).addresses;
            }
        }
    }

    void run(Duration time)
    {
        const Instant end = now + time;
        for (; now < end; now += std::chrono::seconds(1)) {
            for (const StoreModel::Delivery &delivery : store.poll(now)) {
                feed(delivery.session, delivery.reply);
            }
            for (std::size_t index = 0; index < cores.size(); ++index) {
                if (cores.at(index)) {
                    feed(index, TimeElapsed{});
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(OneMemberPerZoneWritesContactsOnlyAfterChange)
{
    Contacts contacts;
    contacts.run(std::chrono::minutes(2));
    BOOST_TEST(contacts.store.counts().swaps == 3U);
    contacts.run(std::chrono::minutes(60));
    BOOST_TEST(contacts.store.counts().swaps == 3U);
    BOOST_TEST(contacts.store.counts().reads == 3U * Contacts::count);

    contacts.cores.at(0).reset();
    for (std::size_t index = 1; index < Contacts::count; ++index) {
        contacts.feed(index, MemberGone{ Cell::describe(0) });
    }
    contacts.run(std::chrono::minutes(2));
    // One successful write after at most one conflict: the new writer read the value before it was first written.
    BOOST_TEST(contacts.store.entry("contacts/default/zone-0").version == 4U);
    BOOST_TEST(contacts.store.counts().swaps <= 5U);
}

BOOST_AUTO_TEST_CASE(NewMemberReceivesContactsOfEveryZone)
{
    Contacts contacts;
    contacts.run(std::chrono::minutes(2));
    const auto options = ContactCore::Options().withSelf(Cell::describe(10)).withConfiguredContacts({}, { "zone-0", "zone-1", "zone-2" });
    contacts.cores.push_back(std::make_unique<ContactCore>(options));
    contacts.known.emplace_back();
    contacts.run(std::chrono::seconds(5));
    BOOST_TEST(contacts.known.back().size() == Contacts::count);
}

BOOST_AUTO_TEST_SUITE_END()
