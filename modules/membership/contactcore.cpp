#include <lagoonroute/membership/contactcore.h>

#include <lagoonroute/membership/memberchoice.h>
#include <lagoonroute/store/backoff.h>

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace lagoonroute
{

namespace
{

namespace json = boost::json;

constexpr Duration firstRetry = std::chrono::milliseconds(500);
constexpr Duration maxRetry = std::chrono::seconds(30);

/** The stored value of one zone, as last read. */
struct ZoneContacts
{
    std::vector<NodeAddress> addresses;
    std::optional<StoreVersion> version; /**< Empty until the value has been read. */
};

std::string encodeContacts(const std::vector<NodeAddress> &addresses)
{
    json::array list;
    for (const NodeAddress &address : addresses) {
        list.push_back(json::object{ { "ip", address.ip }, { "port", address.port } });
    }
    return json::serialize(list);
}

/** Returns the addresses in a value. A malformed value yields none, so that it is rewritten. */
std::vector<NodeAddress> decodeContacts(const std::string &value)
{
    std::vector<NodeAddress> addresses;
    try {
        const json::value document = json::parse(value);
        for (const json::value &item : document.as_array()) {
            addresses.push_back({ json::value_to<std::string>(item.at("ip")), json::value_to<std::uint16_t>(item.at("port")) });
        }
    } catch (const std::exception &) {
        addresses.clear();
    }
    return addresses;
}

} // namespace

ContactCore::Options ContactCore::Options::withSelf(Member member) const
{
    Options changed = *this;
    changed.self = std::move(member);
    return changed;
}

ContactCore::Options ContactCore::Options::withCell(std::string name) const
{
    Options changed = *this;
    changed.cell = std::move(name);
    return changed;
}

ContactCore::Options ContactCore::Options::withConfiguredContacts(std::vector<NodeAddress> contacts, std::vector<std::string> zoneNames) const
{
    Options changed = *this;
    changed.configuredContacts = std::move(contacts);
    changed.zones = std::move(zoneNames);
    return changed;
}

ContactCore::Options ContactCore::Options::withSeed(std::uint64_t value) const
{
    Options changed = *this;
    changed.seed = value;
    return changed;
}

class ContactCore::Implementation
{
public:
    explicit Implementation(const Options &options)
        : m_options(options)
        , m_retry(firstRetry, maxRetry, options.seed)
    {
        m_members[options.self.id] = options.self;
        m_zones[options.self.zone];
        for (const std::string &zone : options.zones) {
            m_zones[zone];
        }
    }

    void handle(const ContactEvent &event, Instant now, std::vector<ContactAction> &actions)
    {
        m_now = now;
        m_actions = &actions;
        if (std::exchange(m_isFirstEvent, false)) {
            actions.emplace_back(ContactsUpdated{ m_options.configuredContacts });
        }
        std::visit([this](const auto &content) { on(content); }, event);
        if (now >= m_nextRefresh) {
            m_nextRefresh = now + m_options.refreshInterval;
            refresh();
        }
    }

    [[nodiscard]] std::optional<Instant> nextWake() const
    {
        return m_nextRefresh;
    }

private:
    void on(const MemberChanged &event)
    {
        m_members[event.member.id] = event.member;
    }

    void on(const MemberGone &event)
    {
        m_members.erase(event.member.id);
    }

    void on(const TimeElapsed & /*event*/)
    {
    }

    void on(const StoreReply &reply)
    {
        const auto call = m_calls.find(reply.number);
        if (call == m_calls.end()) {
            return;
        }
        ZoneContacts &zone = m_zones.at(call->second);
        m_calls.erase(call);
        const bool isAnswered = reply.status == StoreStatus::Ok || reply.status == StoreStatus::NotFound || reply.status == StoreStatus::Conflict;
        if (!isAnswered) {
            // Without an answer the write may have been applied or not: the version is read again before the next write.
            zone.version.reset();
            m_nextRefresh = std::min(m_nextRefresh, m_now + m_retry.next());
            return;
        }
        m_retry.reset();
        zone = { decodeContacts(reply.entry.value), reply.entry.version };
        reportContacts();
    }

    void reportContacts()
    {
        ContactsUpdated known{ m_options.configuredContacts };
        for (const auto &[name, zone] : m_zones) {
            known.addresses.insert(known.addresses.end(), zone.addresses.begin(), zone.addresses.end());
        }
        std::erase(known.addresses, m_options.self.address);
        m_actions->emplace_back(std::move(known));
    }

    void refresh()
    {
        const bool isAlone = m_members.size() == 1;
        for (const auto &[name, zone] : m_zones) {
            if (!zone.version || isAlone) {
                call(name, StoreRead{ keyOf(name) });
            }
        }
        const ZoneContacts &own = m_zones.at(m_options.self.zone);
        const bool isWriter = isAmongFirst(keyOf(m_options.self.zone), m_options.self, m_members, 1);
        if (isWriter && own.version && isStale(own)) {
            call(m_options.self.zone, StoreSwap{ keyOf(m_options.self.zone), encodeContacts(chosenContacts()), *own.version });
        }
    }

    /** Returns whether a stored address belongs to no live member, or too few addresses are stored. */
    [[nodiscard]] bool isStale(const ZoneContacts &zone) const
    {
        const bool areAllLive = std::all_of(zone.addresses.begin(), zone.addresses.end(), [this](const NodeAddress &address) {
            return std::any_of(m_members.begin(), m_members.end(), [&address](const auto &entry) {
                return entry.second.address == address && entry.second.status != MemberStatus::Leaving;
            });
        });
        return !areAllLive || zone.addresses.size() < chosenContacts().size();
    }

    [[nodiscard]] std::vector<NodeAddress> chosenContacts() const
    {
        std::vector<NodeAddress> addresses;
        const std::string key = keyOf(m_options.self.zone);
        for (const auto &[id, member] : m_members) {
            const bool isCandidate = member.zone == m_options.self.zone && member.status == MemberStatus::Alive;
            if (isCandidate && isAmongFirst(key, member, m_members, m_options.contactsPerZone)) {
                addresses.push_back(member.address);
            }
        }
        return addresses;
    }

    [[nodiscard]] std::string keyOf(const std::string &zone) const
    {
        return "contacts/" + m_options.cell + "/" + zone;
    }

    void call(const std::string &zone, StoreOperation operation)
    {
        m_calls[++m_lastCall] = zone;
        m_actions->emplace_back(StoreCall{ m_lastCall, StorePurpose::Contact, std::move(operation) });
    }

    const Options m_options;
    LiveMembers m_members;
    std::map<std::string, ZoneContacts> m_zones;
    std::map<std::uint64_t, std::string> m_calls;
    std::uint64_t m_lastCall = 0;
    Backoff m_retry;
    Instant m_now;
    Instant m_nextRefresh;
    bool m_isFirstEvent = true;
    std::vector<ContactAction> *m_actions = nullptr;
};

ContactCore::ContactCore(const Options &options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

ContactCore::~ContactCore() = default;

void ContactCore::handle(const ContactEvent &event, Instant now, std::vector<ContactAction> &actions)
{
    m_implementation->handle(event, now, actions);
}

std::optional<Instant> ContactCore::nextWake() const
{
    return m_implementation->nextWake();
}

} // namespace lagoonroute
