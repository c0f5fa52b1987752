#include <lagoonroute/app/directsettings.h>

#include "filetext.h"
#include "settingsfields.h"

#include <lagoonroute/base/errors.h>

#include <string_view>
#include <type_traits>
#include <utility>

namespace lagoonroute
{

template <>
struct FieldsOf<ContactSetting>
{
    template <typename Value, typename Visitor>
    static void visit(Value &contact, Visitor &visitor)
    {
        visitor.text("address", contact.address, TextForm::Address);
    }
};

template <>
struct FieldsOf<DirectSettings>
{
    template <typename Value, typename Visitor>
    static void visit(Value &settings, Visitor &visitor)
    {
        using namespace std::chrono_literals;
        constexpr std::size_t maxContacts = 64;
        visitor.text("node", settings.node, TextForm::Name);
        visitor.text("zone", settings.zone, TextForm::Name);
        address("callers", settings.callers, visitor);
        address("ready", settings.ready, visitor);
        address("link", settings.link, visitor);
        address("announce", settings.announce, visitor);
        address("upstream", settings.upstream, visitor);
        address("metrics", settings.metrics, visitor);
        visitor.text("store", settings.store, TextForm::Address);
        visitor.list("contacts", settings.contacts, maxContacts);
        visitor.choice("logLevel", settings.logLevel, logLevelNames);
        visitor.number("memoryMb", settings.memoryMb, { 64, 1'048'576 });
        visitor.duration("offerLifetimeMs", settings.offerLifetime, { 100ms, 60s });
        visitor.duration("longestLeaseMs", settings.longestLease, { 50ms, 60s });
        visitor.flag("zoneDrains", settings.zoneDrains);
        visitor.duration("withdrawMs", settings.withdrawTime, { 0ms, 60s });
        visitor.duration("drainLimitMs", settings.drainLimit, { 0ms, 1h });
        visitor.flag("capacityReservations", settings.capacityReservations);
    }

private:
    /** Visits an address that not every role has: always when reading, otherwise only if it is set. */
    template <typename Value, typename Visitor>
    static void address(std::string_view name, Value &text, Visitor &visitor)
    {
        if (!text.empty() || std::is_same_v<Visitor, FieldReader>) {
            visitor.text(name, text, TextForm::Address);
        }
    }
};

DirectSettings DirectSettings::fromFile(const std::string &path)
{
    return fromText(readFile(path), path);
}

DirectSettings DirectSettings::fromText(const std::string &text, const std::string &source)
{
    return settingsFromText<DirectSettings>(text, source);
}

void DirectSettings::require(DirectRole role, const std::string &source) const
{
    using Field = std::pair<std::string_view, const std::string &>;
    const std::vector<Field> required = role == DirectRole::Entry ? std::vector<Field>{ { "callers", callers }, { "ready", ready }, { "link", link } }
                                                                  : std::vector<Field>{ { "announce", announce }, { "upstream", upstream } };
    std::string message;
    for (const auto &[name, value] : required) {
        if (value.empty()) {
            message += (message.empty() ? "" : "\n") + source + ": /" + std::string(name)
                + " is missing; the role requires an IP address and a port such as 127.0.0.1:7500";
        }
    }
    if (!message.empty()) {
        throw InvalidDocument(message);
    }
}

std::vector<std::string> DirectSettings::contactAddresses() const
{
    std::vector<std::string> addresses;
    for (const ContactSetting &contact : contacts) {
        addresses.push_back(contact.address);
    }
    return addresses;
}

} // namespace lagoonroute
